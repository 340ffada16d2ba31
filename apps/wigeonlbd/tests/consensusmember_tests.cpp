#include <catch2/catch.hpp>

#include <thread>

#include "tests/singlemember.h"

namespace wigeonlb::daemon::control {

namespace consensus = core::consensus;

TEST_CASE("a member leads again once its disk accepts writes",
          "[consensusmember]")
{
  struct Row
  {
    std::string_view what_;
    std::optional<std::size_t> spaceLeft_; //!< in bytes
    bool syncFails_;
  };
  const auto row = GENERATE(values<Row>({
    { "a full disk", 0, false },
    { "a disk that fills up during a write", 10, false },
    { "a disk whose sync fails", {}, true },
  }));
  INFO(row.what_);
  SingleMember single;
  REQUIRE(WaitUntilReady(single));
  CreateGroup(single, "kept");
  REQUIRE(HasGroup(single, "kept"));
  const auto term = single.member_->Consensus().hardState_.term();
  const auto lastIndex = consensus::LastIndex(single.member_->Consensus().log_);

  single.files_.spaceLeft_ = row.spaceLeft_;
  single.files_.syncFails_ = row.syncFails_;
  CreateGroup(single, "refused");
  CHECK_FALSE(HasGroup(single, "refused"));
  CHECK_FALSE(single.member_->IsLeading());
  CHECK_FALSE(single.member_->HoldsLease());
  // The first attempt to recover finds the disk as it was.
  std::this_thread::sleep_for(single.member_->NextDue() -
                              foundation::SteadyNow());
  single.member_->Feed(consensus::Tick{});
  CHECK_FALSE(single.member_->IsLeading());
  CHECK(single.replaced_ == 0);

  single.files_.spaceLeft_.reset();
  single.files_.syncFails_ = false;
  REQUIRE(WaitUntilReady(single));
  CHECK(single.replaced_ == 1);
  CHECK(HasGroup(single, "kept"));
  CHECK(single.member_->Consensus().hardState_.term() > term);
  // Fences of the new leadership are higher than those of the former one.
  CHECK(single.member_->FirstIndexOfTerm() > lastIndex);
  CreateGroup(single, "later");
  CHECK(HasGroup(single, "later"));
}

} // namespace wigeonlb::daemon::control
