#include "core/failover/tests/singleleader.h"

#include <catch2/catch.hpp>

#include "core/configuration/applyrecord.h"

namespace wigeonlb::core::failover {

namespace {

using foundation::Instant;

constexpr foundation::Duration kStepMs = std::chrono::milliseconds(25);
constexpr foundation::Duration kAnswerMs = std::chrono::milliseconds(1);
constexpr std::uint64_t kTerm2StartOffset = 100;

//! Empty if the server doesn't answer.
std::optional<wire::TargetReport>
MakeServerReport(const std::string& aName, const Server& aServer)
{
  const auto report = MakeReport(aName, aServer);
  return report.reachable() ? std::optional(report) : std::nullopt;
}

wire::GroupState
MakeGroup(const Leader& aLeader)
{
  wire::GroupState group;
  group.set_group("g");
  group.set_term(2);
  group.set_primary("b");
  group.set_fenced(true);
  (*group.mutable_options())["acknowledge"] = aLeader.acknowledge_;
  for (const auto& [term, start] :
       { std::pair(1, std::uint64_t{ 0 }), std::pair(2, kTerm2StartOffset) }) {
    auto* entry = group.add_history();
    entry->set_term(static_cast<std::uint64_t>(term));
    entry->set_start_offset(start);
  }
  for (const auto& [name, server] : aLeader.servers_) {
    auto* target = group.add_targets();
    target->set_target(name);
    target->set_incarnation(server.incarnation_);
    target->set_address(server.address_);
    target->set_connection_limit(kConnectionLimit);
    target->set_counted(server.counted_);
    target->set_leaving(server.leaving_);
  }
  return group;
}

void
Execute(Leader& aLeader, const Propose& aPropose)
{
  if (aPropose.record_.has_choose()) {
    aLeader.chosen_.push_back(aPropose.record_.choose().target());
    aLeader.lastChosenAt_ = aLeader.now_;
  }
  const auto result = configuration::ApplyRecord(
    aLeader.control_, aPropose.record_, ++aLeader.index_);
  INFO(aPropose.record_.ShortDebugString());
  CHECK(result.ignored_.empty());
  aLeader.events_.emplace_back(StateApplied{ { "g" } });
}

void
Execute(Leader& aLeader, const ReadTarget& aRead)
{
  const auto& server = aLeader.servers_[aRead.target_];
  aLeader.events_.emplace_back(
    TargetAnswered{ aRead.read_,
                    aRead.group_,
                    aRead.target_,
                    MakeServerReport(aRead.target_, server) });
}

void
Execute(Leader& aLeader, const PromoteTarget& aRequest)
{
  auto& server = aLeader.servers_.at(aRequest.target_);
  if (server.answers_ && !server.refuses_ && aRequest.term_ > server.adopted_) {
    server.primary_ = true;
    server.adopted_ = aRequest.term_;
    if (aLeader.onPromoted_) {
      aLeader.onPromoted_(aRequest.target_);
    }
  }
  aLeader.events_.emplace_back(
    PromotionAnswered{ aRequest.group_,
                       aRequest.target_,
                       aRequest.term_,
                       aRequest.fence_,
                       MakeServerReport(aRequest.target_, server) });
}

void
Execute(Leader& aLeader, const Reply& aReply)
{
  if (aLeader.onReply_) {
    aLeader.onReply_(aReply);
  }
}

void
Execute(Leader& aLeader, const SendRevoke& aRevoke)
{
  if (aLeader.onRevoke_) {
    aLeader.onRevoke_(aRevoke);
  }
}

} // namespace

wire::TargetReport
MakeReport(const std::string& aName, const Server& aServer)
{
  wire::TargetReport report;
  report.set_group("g");
  report.set_target(aName);
  report.set_reachable(aServer.answers_);
  if (aServer.answers_) {
    report.set_primary(aServer.primary_);
    report.set_adopted_term(aServer.adopted_);
    report.set_synced_offset(aServer.offset_);
    report.set_incarnation(aServer.incarnation_);
    report.set_diverged(aServer.diverged_);
  }
  return report;
}

void
Feed(Leader& aLeader, const FailoverEvent& aEvent)
{
  aLeader.events_.push_back(aEvent);
  while (!aLeader.events_.empty()) {
    const auto event = aLeader.events_.front();
    aLeader.events_.pop_front();
    aLeader.now_ += kAnswerMs;
    std::vector<FailoverAction> actions;
    Step(aLeader.state_, aLeader.control_, event, aLeader.now_, actions);
    for (const auto& action : actions) {
      std::visit([&](const auto& aOne) { Execute(aLeader, aOne); }, action);
    }
  }
}

const wire::GroupState&
GetGroup(const Leader& aLeader)
{
  return aLeader.control_.groups().at("g");
}

void
RunFenced(Leader& aLeader, foundation::Duration aWithin)
{
  (*aLeader.control_.mutable_groups())["g"] = MakeGroup(aLeader);
  Feed(aLeader, BecameLeader{ .term_ = 1 });
  // All grants of an earlier leader have expired by then.
  aLeader.now_ += std::chrono::seconds(10);
  Continue(aLeader, aWithin);
}

void
RunLive(Leader& aLeader, foundation::Duration aTime)
{
  auto group = MakeGroup(aLeader);
  group.set_fenced(false);
  aLeader.state_.guards_ = aLeader.guards_;
  (*aLeader.control_.mutable_groups())["g"] = group;
  Feed(aLeader, BecameLeader{ .term_ = 1 });
  // All grants of an earlier leader have expired by then.
  aLeader.now_ += std::chrono::seconds(10);
  RunFor(aLeader, aTime);
}

void
RunFor(Leader& aLeader, foundation::Duration aTime)
{
  const auto end = aLeader.now_ + aTime;
  while (aLeader.now_ < end) {
    Feed(aLeader, Tick{ Instant::max() });
    aLeader.now_ += kStepMs;
  }
}

void
Announce(Leader& aLeader, const std::string& aServer, bool aGone)
{
  HeartbeatReceived received;
  received.receivedAt_ = aLeader.now_;
  received.leaderLeaseUntil_ = Instant::max();
  received.heartbeat_.mutable_sender()->set_host("h");
  received.heartbeat_.set_sequence(++aLeader.heartbeats_);
  auto& announcement = *received.heartbeat_.add_announcements();
  announcement.set_group("g");
  announcement.set_target(aServer);
  announcement.set_address(aLeader.servers_.at(aServer).address_);
  announcement.set_incarnation(aLeader.servers_.at(aServer).incarnation_);
  announcement.set_connection_limit(kConnectionLimit);
  announcement.set_leaving(aGone);
  announcement.set_gone(aGone);
  Feed(aLeader, received);
}

void
ChangeLeader(Leader& aLeader)
{
  aLeader.state_ = FailoverState();
  aLeader.state_.guards_ = aLeader.guards_;
  aLeader.events_.clear();
  Feed(aLeader, BecameLeader{ .term_ = ++aLeader.index_ });
}

void
Continue(Leader& aLeader, foundation::Duration aWithin)
{
  const auto end = aLeader.now_ + aWithin;
  while (aLeader.now_ < end && GetGroup(aLeader).fenced()) {
    Feed(aLeader, Tick{ Instant::max() });
    aLeader.now_ += kStepMs;
  }
}

} // namespace wigeonlb::core::failover
