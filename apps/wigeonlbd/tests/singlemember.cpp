#include "tests/singlemember.h"

#include <catch2/catch.hpp>

#include <thread>

namespace wigeonlb::daemon::control {

namespace consensus = core::consensus;

namespace {

constexpr std::chrono::seconds kWaitLimitSeconds{ 20 };
constexpr std::chrono::milliseconds kTickMs{ 5 };

} // namespace

SingleMember::SingleMember()
{
  REQUIRE_FALSE(storage::OpenDataFolder(files_, "data", "a", folder_));
  REQUIRE_FALSE(Restart());
}

std::error_code
SingleMember::Restart()
{
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
  return member_->Start(settings, findings);
}

bool
WaitUntilReady(SingleMember& aMember)
{
  const auto end = foundation::SteadyNow() + kWaitLimitSeconds;
  while (!aMember.member_->IsReady() && foundation::SteadyNow() < end) {
    aMember.member_->Feed(consensus::Tick{});
    std::this_thread::sleep_for(kTickMs);
  }
  return aMember.member_->IsReady();
}

void
CreateGroup(SingleMember& aMember, const std::string& aGroup)
{
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  change.set_change_id(aGroup);
  change.add_operations()->mutable_create_group()->set_group(aGroup);
  aMember.member_->Feed(consensus::Propose{ record, 1 });
}

bool
HasGroup(const SingleMember& aMember, const std::string& aGroup)
{
  return aMember.member_->Control().groups().contains(aGroup);
}

} // namespace wigeonlb::daemon::control
