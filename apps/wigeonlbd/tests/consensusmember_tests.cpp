#include <catch2/catch.hpp>

#include <thread>

#include "storage/storageerrors.h"
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

TEST_CASE("a member whose disk refuses its start leads once it accepts writes",
          "[consensusmember]")
{
  const int calls = GENERATE(1, 2, 3, 4);
  SingleMember single;
  REQUIRE(WaitUntilReady(single));
  CreateGroup(single, "kept");
  REQUIRE(HasGroup(single, "kept"));
  const auto term = single.member_->Consensus().hardState_.term();

  single.files_.callsLeft_ = calls;
  REQUIRE_FALSE(single.Restart());
  if (calls < 4) {
    CHECK(single.member_->Consensus().role_ == consensus::Role::Failed);
  }
  single.member_->Feed(consensus::Tick{});
  CHECK_FALSE(single.member_->IsLeading());
  single.files_.callsLeft_.reset();
  REQUIRE(WaitUntilReady(single));
  CHECK(HasGroup(single, "kept"));
  CHECK(single.member_->Consensus().hardState_.term() > term);
}

TEST_CASE("a member whose data is damaged stays out", "[consensusmember]")
{
  SingleMember single;
  REQUIRE(WaitUntilReady(single));
  for (auto& [name, file] : single.files_.files_) {
    if (name.find("log-") != std::string::npos) {
      file->bytes_[20] = static_cast<char>(file->bytes_[20] ^ 1);
    }
  }
  CHECK(single.Restart() == storage::StorageError::CorruptLog);
}

} // namespace wigeonlb::daemon::control
