#include <catch2/catch.hpp>

#include <chrono>
#include <ctime>
#include <iostream>

#include "core/configuration/delta.h"
#include "core/failover/failover.h"
#include "core/grants/holder.h"
#include "core/grants/owners.h"

//! CPU time of the leader's decisions with kHosts hosts and kGroups groups.
//! Hidden: run `test_core_failover '[cost]'`.
namespace wigeonlb::core::failover {

namespace {

using foundation::Duration;
using foundation::Instant;

constexpr int kHosts = 910;
constexpr int kGroups = 980;
constexpr int kDataCentres = 5;
constexpr int kMembers = 5;
constexpr int kTargets = 3;
constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr Duration kTickMs = std::chrono::milliseconds(20);
constexpr Duration kReportMs = std::chrono::milliseconds(240);
constexpr Duration kAnnounceMs = std::chrono::milliseconds(500);

double
GetCpuSeconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

//! A leader and the holder states of all hosts, without a network.
struct Cluster
{
  wire::ControlState control_;
  FailoverState leader_;
  std::vector<grants::HolderState> hosts_;
  Instant now_{ std::chrono::seconds(1000) };
  std::uint64_t written_ = 1000; //!< synced offset of every target, in bytes
  double tickSeconds_ = 0;
  double heartbeatSeconds_ = 0;
  std::size_t heartbeats_ = 0;
  std::size_t heartbeatBytes_ = 0;
  std::size_t replyBytes_ = 0;
  std::size_t requests_ = 0; //!< all of the leader's actions but replies
};

std::string
DataCentre(int aNumber)
{
  return "dc" + std::to_string(aNumber % kDataCentres);
}

wire::GroupState
MakeGroup(int aNumber)
{
  wire::GroupState group;
  group.set_group("group-" + std::to_string(aNumber));
  group.set_revision(1);
  group.set_term(1);
  group.set_primary("t0");
  auto* start = group.add_history();
  start->set_term(1);
  start->set_primary("t0");
  for (int i = 0; i < kTargets; ++i) {
    auto* target = group.add_targets();
    target->set_target("t" + std::to_string(i));
    target->set_address("10.0.0.1:" + std::to_string(5000 + aNumber));
    target->set_data_centre(DataCentre(aNumber + i));
    target->set_slots(3);
    target->set_connection_limit(20);
    target->set_incarnation(1);
    target->set_counted(true);
  }
  return group;
}

void
AddAnnouncements(Cluster& aCluster,
                 const wire::GroupState& aGroup,
                 std::size_t aHost)
{
  for (const auto& target : aGroup.targets()) {
    wire::Announcement announcement;
    announcement.set_group(aGroup.group());
    announcement.set_target(target.target());
    announcement.set_address(target.address());
    announcement.set_data_centre(target.data_centre());
    announcement.set_slots(target.slots());
    announcement.set_connection_limit(target.connection_limit());
    announcement.set_incarnation(target.incarnation());
    std::vector<grants::HolderAction> none;
    grants::Step(aCluster.hosts_[aHost],
                 grants::AnnouncementReceived{ announcement },
                 aCluster.now_,
                 none);
  }
}

grants::ReportsChanged
MakeReports(const Cluster& aCluster, const wire::GroupState& aGroup)
{
  grants::ReportsChanged changed;
  for (const auto& target : aGroup.targets()) {
    wire::TargetReport report;
    report.set_group(aGroup.group());
    report.set_target(target.target());
    report.set_reachable(true);
    report.set_primary(target.target() == aGroup.primary());
    report.set_adopted_term(aGroup.term());
    report.set_synced_offset(aCluster.written_);
    report.set_applied_offset(aCluster.written_);
    report.set_incarnation(target.incarnation());
    report.set_address(target.address());
    report.set_age_us(20000);
    changed.reports_.push_back(std::move(report));
  }
  return changed;
}

void
ExecuteActions(Cluster& aCluster,
               std::size_t aHost,
               const std::vector<grants::HolderAction>& aActions);

void
FeedHost(Cluster& aCluster,
         std::size_t aHost,
         const grants::HolderEvent& aEvent)
{
  std::vector<grants::HolderAction> actions;
  grants::Step(aCluster.hosts_[aHost], aEvent, aCluster.now_, actions);
  ExecuteActions(aCluster, aHost, actions);
}

//! Answers the leader's reads. Counts its requests and proposals.
void
AnswerReads(Cluster& aCluster, const std::vector<FailoverAction>& aActions)
{
  for (const auto& action : aActions) {
    aCluster.requests_ += std::holds_alternative<Reply>(action) ? 0 : 1;
    const auto* read = std::get_if<ReadTarget>(&action);
    if (read == nullptr) {
      continue;
    }
    for (auto& report :
         MakeReports(aCluster, aCluster.control_.groups().at(read->group_))
           .reports_) {
      if (report.target() == read->target_) {
        std::vector<FailoverAction> more;
        Step(aCluster.leader_,
             aCluster.control_,
             TargetAnswered{ read->read_, read->group_, read->target_, report },
             aCluster.now_,
             more);
        AnswerReads(aCluster, more);
      }
    }
  }
}

//! Handles one serialised heartbeat as the leader; returns the serialised
//! reply.
std::string
HandleHeartbeat(Cluster& aCluster, const std::string& aBytes)
{
  HeartbeatReceived event;
  event.heartbeat_.ParseFromString(aBytes);
  event.receivedAt_ = aCluster.now_;
  event.leaderLeaseUntil_ = aCluster.now_ + std::chrono::seconds(1);
  const auto inForce = event.heartbeat_.revision_in_force();
  std::vector<FailoverAction> actions;
  Step(aCluster.leader_, aCluster.control_, event, aCluster.now_, actions);
  std::string reply;
  for (auto& action : actions) {
    if (auto* answer = std::get_if<Reply>(&action)) {
      answer->reply_.MergeFrom(
        configuration::DeltaSince(aCluster.control_, inForce));
      reply = answer->reply_.SerializeAsString();
    }
  }
  AnswerReads(aCluster, actions);
  return reply;
}

void
ExecuteActions(Cluster& aCluster,
               std::size_t aHost,
               const std::vector<grants::HolderAction>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* send = std::get_if<grants::SendHeartbeat>(&action)) {
      const auto bytes = send->heartbeat_.SerializeAsString();
      const auto before = GetCpuSeconds();
      const auto answer = HandleHeartbeat(aCluster, bytes);
      aCluster.heartbeatSeconds_ += GetCpuSeconds() - before;
      ++aCluster.heartbeats_;
      aCluster.heartbeatBytes_ += bytes.size();
      aCluster.replyBytes_ += answer.size();
      wire::HeartbeatReply reply;
      reply.ParseFromString(answer);
      FeedHost(aCluster, aHost, grants::ReplyReceived{ reply });
    } else if (std::get_if<grants::ConfigurationReceived>(&action)) {
      FeedHost(aCluster,
               aHost,
               grants::RevisionInForce{ aCluster.control_.revision() });
    }
  }
}

Cluster
MakeCluster()
{
  Cluster cluster;
  cluster.control_.set_revision(1);
  for (int i = 0; i < kGroups; ++i) {
    auto group = MakeGroup(i);
    (*cluster.control_.mutable_groups())[group.group()] = group;
  }
  std::vector<foundation::HostId> members;
  members.reserve(kMembers);
  for (int i = 0; i < kMembers; ++i) {
    members.push_back("host-" + std::to_string(i));
  }
  for (int i = 0; i < kHosts; ++i) {
    wire::HostInfo info;
    info.set_host("host-" + std::to_string(i));
    info.set_data_centre(DataCentre(i));
    info.set_peer_address("10.0.1.1:" + std::to_string(20000 + i));
    info.set_boot(1796342500865294397U + static_cast<std::uint64_t>(i));
    auto host = grants::MakeHolder(info, members, 1);
    host.followed_ = 0;
    host.revision_ = cluster.control_.revision();
    host.nextHeartbeat_ =
      cluster.now_ + i * grants::kHeartbeatIntervalMs / kHosts;
    cluster.hosts_.push_back(std::move(host));
  }
  cluster.leader_.self_ = members.front();
  std::vector<FailoverAction> none;
  Step(cluster.leader_,
       cluster.control_,
       BecameLeader{ .term_ = 2 },
       cluster.now_,
       none);
  return cluster;
}

//! For each host, the groups that it owns.
std::vector<std::vector<const wire::GroupState*>>
ListOwnedGroups(const Cluster& aCluster)
{
  std::vector<wire::HostInfo> infos;
  std::map<foundation::HostId, std::size_t> hostIndexes;
  for (const auto& host : aCluster.hosts_) {
    hostIndexes[host.self_.host()] = infos.size();
    infos.push_back(host.self_);
  }
  std::vector<std::vector<const wire::GroupState*>> owned(infos.size());
  for (const auto& [name, group] : aCluster.control_.groups()) {
    for (const auto& owner : grants::ChooseOwners(group, infos, kTargets)) {
      owned[hostIndexes.at(owner)].push_back(&group);
    }
  }
  return owned;
}

void
RunTick(Cluster& aCluster)
{
  const auto before = GetCpuSeconds();
  std::vector<FailoverAction> actions;
  const Tick tick{ foundation::Instant::max() };
  Step(aCluster.leader_, aCluster.control_, tick, aCluster.now_, actions);
  aCluster.tickSeconds_ += GetCpuSeconds() - before;
  AnswerReads(aCluster, actions);
}

void
Run(Cluster& aCluster,
    const std::vector<std::vector<const wire::GroupState*>>& aOwned,
    Duration aLength,
    std::uint64_t aBytesPerReport)
{
  const auto steps = aLength / kStep;
  for (std::int64_t step = 0; step < steps; ++step) {
    aCluster.now_ += kStep;
    const auto at = step * kStep;
    if (at % kTickMs == Duration(0)) {
      RunTick(aCluster);
    }
    const bool reports = at % kReportMs == Duration(0);
    aCluster.written_ += reports ? aBytesPerReport : 0;
    for (std::size_t i = 0; i < aCluster.hosts_.size(); ++i) {
      for (const auto* group : aOwned[i]) {
        if (reports) {
          FeedHost(aCluster, i, MakeReports(aCluster, *group));
        }
        if (at % kAnnounceMs == Duration(0)) {
          AddAnnouncements(aCluster, *group, i);
        }
      }
      if (aCluster.now_ >= aCluster.hosts_[i].nextHeartbeat_) {
        FeedHost(aCluster, i, grants::Tick{});
      }
    }
  }
}

} // namespace

TEST_CASE("cost of the leader's decisions at 910 hosts", "[.cost]")
{
  struct Row
  {
    std::string_view what_;
    std::uint64_t bytesPerReport_;
  };
  const auto row = GENERATE(Row{ "idle", 0 }, Row{ "written", 100 });
  auto cluster = MakeCluster();
  const auto owned = ListOwnedGroups(cluster);
  Run(cluster, owned, std::chrono::seconds(1), row.bytesPerReport_);
  std::cout << row.what_ << ": first second of a leader "
            << cluster.tickSeconds_ + cluster.heartbeatSeconds_
            << " s of CPU time\n";
  Run(cluster, owned, std::chrono::seconds(3), row.bytesPerReport_);
  cluster.tickSeconds_ = 0;
  cluster.heartbeatSeconds_ = 0;
  cluster.heartbeats_ = 0;
  cluster.heartbeatBytes_ = 0;
  cluster.replyBytes_ = 0;
  cluster.requests_ = 0;
  const auto length = std::chrono::seconds(2);
  Run(cluster, owned, length, row.bytesPerReport_);
  const auto seconds = static_cast<double>(length.count());
  const auto count = static_cast<double>(cluster.heartbeats_);
  std::cout << row.what_ << ": ticks " << cluster.tickSeconds_ / seconds * 100
            << "% of a core, heartbeats "
            << cluster.heartbeatSeconds_ / seconds * 100 << "% ("
            << cluster.heartbeatSeconds_ / count * 1e6 << " us, "
            << static_cast<double>(cluster.heartbeatBytes_) / count
            << " bytes, reply "
            << static_cast<double>(cluster.replyBytes_) / count << " bytes; "
            << count / seconds << " per second), requests " << cluster.requests_
            << '\n';
  CHECK(cluster.requests_ == 0);
}

} // namespace wigeonlb::core::failover
