#include <catch2/catch.hpp>

#include <thread>

#include "control/consensusmember.h"
#include "storage/tests/memoryfilesystem.h"

namespace wigeonlb::daemon::control {

namespace {

namespace consensus = core::consensus;

constexpr std::chrono::seconds kWaitLimitSeconds{ 20 };
constexpr std::chrono::milliseconds kTickMs{ 5 };

//! The only control member of a system, on an in-memory file system.
struct Fixture
{
  storage::MemoryFileSystem files_;
  storage::DataFolder folder_;
  std::vector<consensus::ProposalOutcome> decided_;
  int replaced_ = 0;
  std::unique_ptr<ConsensusMember> member_;

  Fixture()
  {
    REQUIRE_FALSE(storage::OpenDataFolder(files_, "data", "a", folder_));
    MemberCallbacks callbacks;
    callbacks.send_ = [](const auto&) {};
    callbacks.applied_ = [](auto, const auto&) {};
    callbacks.replaced_ = [this] { ++replaced_; };
    callbacks.leadership_ = [](const auto&) {};
    callbacks.decided_ = [this](const consensus::ProposalDecided& aDecision) {
      decided_.push_back(aDecision.outcome_);
    };
    member_ = std::make_unique<ConsensusMember>(folder_, std::move(callbacks));
    consensus::ConsensusSettings settings;
    settings.self_ = "a";
    settings.founders_ = { "a" };
    foundation::Findings findings;
    REQUIRE_FALSE(member_->Start(settings, findings));
  }
};

bool
WaitUntilReady(Fixture& aFixture)
{
  const auto end = foundation::SteadyNow() + kWaitLimitSeconds;
  while (!aFixture.member_->IsReady() && foundation::SteadyNow() < end) {
    aFixture.member_->Feed(consensus::Tick{});
    std::this_thread::sleep_for(kTickMs);
  }
  return aFixture.member_->IsReady();
}

void
CreateGroup(Fixture& aFixture, const std::string& aGroup)
{
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  change.set_change_id(aGroup);
  change.add_operations()->mutable_create_group()->set_group(aGroup);
  aFixture.member_->Feed(consensus::Propose{ record, 1 });
}

bool
HasGroup(const Fixture& aFixture, const std::string& aGroup)
{
  return aFixture.member_->Control().groups().contains(aGroup);
}

} // namespace

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
  Fixture fixture;
  REQUIRE(WaitUntilReady(fixture));
  CreateGroup(fixture, "kept");
  REQUIRE(HasGroup(fixture, "kept"));
  const auto term = fixture.member_->Consensus().hardState_.term();

  fixture.files_.spaceLeft_ = row.spaceLeft_;
  fixture.files_.syncFails_ = row.syncFails_;
  CreateGroup(fixture, "refused");
  CHECK_FALSE(HasGroup(fixture, "refused"));
  CHECK_FALSE(fixture.member_->IsLeading());
  CHECK_FALSE(fixture.member_->HoldsLease());
  // The first attempt to recover finds the disk as it was.
  std::this_thread::sleep_for(fixture.member_->NextDue() -
                              foundation::SteadyNow());
  fixture.member_->Feed(consensus::Tick{});
  CHECK_FALSE(fixture.member_->IsLeading());
  CHECK(fixture.replaced_ == 0);

  fixture.files_.spaceLeft_.reset();
  fixture.files_.syncFails_ = false;
  REQUIRE(WaitUntilReady(fixture));
  CHECK(fixture.replaced_ == 1);
  CHECK(HasGroup(fixture, "kept"));
  CHECK(fixture.member_->Consensus().hardState_.term() > term);
  CreateGroup(fixture, "later");
  CHECK(HasGroup(fixture, "later"));
}

} // namespace wigeonlb::daemon::control
