#include "operations/tables.h"

#include <algorithm>
#include <map>

#include "core/configuration/groupoptions.h"
#include "core/grants/owners.h"

namespace wigeonlb::daemon::operations {

namespace {

using foundation::SteadyNow;
using operators::Table;

constexpr std::string_view kUnknown = "-";
const std::vector<std::string> kConfigColumns{ "group", "key", "value" };
const std::vector<std::string> kWhyColumns{ "ms_ago", "decision" };

std::string
YesNo(bool aValue)
{
  return aValue ? "yes" : "no";
}

std::string
FormatMilliseconds(foundation::Duration aDuration)
{
  return std::to_string(foundation::ToMilliseconds(aDuration));
}

std::string
Join(const std::vector<std::string>& aNames)
{
  std::string joined;
  for (const std::string& name : aNames) {
    joined += (joined.empty() ? "" : " ") + name;
  }
  return joined;
}

const wire::GroupState*
FindGroup(control::ControlRuntime& aControl, const std::string& aName)
{
  const auto& groups = aControl.Agent().View().state_.groups();
  const auto found = groups.find(aName);
  return found == groups.end() ? nullptr : &found->second;
}

std::vector<std::string>
SortedGroups(control::ControlRuntime& aControl)
{
  std::vector<std::string> names;
  for (const auto& [name, group] : aControl.Agent().View().state_.groups()) {
    names.push_back(name);
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::size_t
CountedTargets(const wire::GroupState& aGroup)
{
  return static_cast<std::size_t>(std::count_if(
    aGroup.targets().begin(), aGroup.targets().end(), [](const auto& aTarget) {
      return aTarget.counted();
    }));
}

std::string
FormatState(const wire::GroupState& aGroup)
{
  if (aGroup.primary().empty()) {
    return "waiting for its first primary";
  }
  if (!aGroup.promoting().empty()) {
    return "promoting " + aGroup.promoting();
  }
  return aGroup.fenced() ? "fenced" : "serving";
}

//! State of a target according to the last announcement that this host
//! received.
std::string
FormatAnnouncedState(const core::membership::MembershipState& aAnnounced,
                     const wire::GroupState& aGroup,
                     const wire::TargetState& aTarget)
{
  const core::membership::TargetEntry* const entry =
    core::membership::FindTarget(aAnnounced, aGroup.group(), aTarget.target());
  if (entry == nullptr || !entry->announcement_) {
    return "silent";
  }
  return entry->announcement_->leaving() ? "leaving" : "announced";
}

const wire::TargetReport*
FindReport(const core::grants::HolderState& aHolder,
           const std::string& aGroup,
           const std::string& aTarget)
{
  const auto found = aHolder.reports_.find({ aGroup, aTarget });
  return found == aHolder.reports_.end() ? nullptr : &found->second.first;
}

std::vector<std::string>
TargetRow(control::ControlRuntime& aControl,
          const wire::GroupState& aGroup,
          const wire::TargetState& aTarget)
{
  const control::HostAgent& agent = aControl.Agent();
  const wire::TargetReport* const report =
    FindReport(agent.Holder(), aGroup.group(), aTarget.target());
  return { aGroup.group(),
           aTarget.target(),
           aTarget.address(),
           aTarget.data_centre(),
           aGroup.primary() == aTarget.target() ? "primary" : "replica",
           YesNo(aTarget.counted()),
           YesNo(aTarget.draining()),
           YesNo(agent.IsUsable(aGroup, aTarget)),
           FormatAnnouncedState(agent.Announced(), aGroup, aTarget),
           report == nullptr ? std::string(kUnknown)
                             : YesNo(report->reachable()),
           report == nullptr ? std::string(kUnknown)
                             : std::to_string(report->adopted_term()),
           report == nullptr ? std::string(kUnknown)
                             : std::to_string(report->synced_offset()),
           report == nullptr ? std::string(kUnknown)
                             : std::to_string(report->applied_offset()) };
}

std::string
RoleName(core::consensus::Role aRole)
{
  using core::consensus::Role;
  switch (aRole) {
    case Role::Follower:
      return "follower";
    case Role::PreCandidate:
    case Role::Candidate:
      return "candidate";
    case Role::Leader:
      return "leader";
    case Role::Failed:
      return "failed";
  }
  return "unknown";
}

//! The number of hosts that have the newest revision in force, and the names of
//! those that don't.
Table
InForceTable(control::ControlRuntime& aControl)
{
  const foundation::Revision newest = aControl.Agent().View().state_.revision();
  const auto& inForce = aControl.Leader()->RevisionsInForce();
  const std::vector<wire::HostInfo>& hosts = aControl.Agent().Hosts();
  std::vector<std::string> behind;
  for (const wire::HostInfo& host : hosts) {
    const auto found = inForce.find(host.host());
    if (found == inForce.end() || found->second < newest) {
      behind.push_back(host.host());
    }
  }
  const std::string counts = std::to_string(hosts.size() - behind.size()) +
                             " of " + std::to_string(hosts.size());
  return { kConfigColumns,
           { { "", "hosts_in_force", counts },
             { "", "hosts_behind", Join(behind) } } };
}

//! The decisions about a group, oldest first, and the reason for the current
//! wait, if any.
Table
WhyTable(const control::ControlRuntime& aControl,
         const foundation::GroupName& aGroup)
{
  Table table{ kWhyColumns, {} };
  const foundation::Instant now = SteadyNow();
  const core::failover::FailoverState& failover = aControl.Leader()->State();
  for (const core::failover::Decision& decision :
       core::failover::GetDecisions(failover, aGroup)) {
    table.rows_.push_back(
      { FormatMilliseconds(now - decision.at_), decision.text_ });
  }
  const std::string waiting =
    core::failover::GetWaitingReason(failover, aGroup);
  if (!waiting.empty()) {
    table.rows_.push_back({ "0", "waiting: " + waiting });
  }
  return table;
}

} // namespace

Table
HostsTable(control::ControlRuntime& aControl)
{
  Table table{
    { "host", "data_centre", "peer_address", "state", "revision_in_force" }, {}
  };
  const control::LeaderDriver* const leader = aControl.Leader();
  for (const wire::HostInfo& host : aControl.Agent().Hosts()) {
    std::string revision(kUnknown);
    if (leader != nullptr) {
      const auto found = leader->RevisionsInForce().find(host.host());
      if (found != leader->RevisionsInForce().end()) {
        revision = std::to_string(found->second);
      }
    }
    table.rows_.push_back({ host.host(),
                            host.data_centre(),
                            host.peer_address(),
                            host.draining() ? "draining" : "serving",
                            revision });
  }
  return table;
}

Table
GroupsTable(control::ControlRuntime& aControl)
{
  Table table{ { "name",
                 "revision",
                 "state",
                 "term",
                 "primary",
                 "desired_primary",
                 "size",
                 "counted",
                 "owners",
                 "max_age",
                 "reason" },
               {} };
  for (const std::string& name : SortedGroups(aControl)) {
    const wire::GroupState& group = *FindGroup(aControl, name);
    table.rows_.push_back({ name,
                            std::to_string(group.revision()),
                            FormatState(group),
                            std::to_string(group.term()),
                            group.primary(),
                            group.requested_primary(),
                            core::configuration::OptionText(group, "size"),
                            std::to_string(CountedTargets(group)),
                            Join(aControl.Agent().ListOwners(group)),
                            core::configuration::OptionText(group, "max_age"),
                            group.reason() });
  }
  return table;
}

Table
TargetsTable(control::ControlRuntime& aControl)
{
  Table table{ { "group",
                 "target",
                 "address",
                 "data_centre",
                 "role",
                 "counted",
                 "draining",
                 "usable",
                 "announced",
                 "reachable",
                 "term",
                 "synced",
                 "applied" },
               {} };
  for (const std::string& name : SortedGroups(aControl)) {
    const wire::GroupState& group = *FindGroup(aControl, name);
    for (const wire::TargetState& target : group.targets()) {
      table.rows_.push_back(TargetRow(aControl, group, target));
    }
  }
  return table;
}

Table
GrantsTable(control::ControlRuntime& aControl)
{
  Table table{
    { "group", "term", "primary", "connection_share", "ends_in_ms", "stopped" },
    {}
  };
  for (const auto& [name, held] : aControl.Agent().Holder().grants_) {
    table.rows_.push_back({ name,
                            std::to_string(held.grant_.term()),
                            held.grant_.primary(),
                            std::to_string(held.grant_.connection_share()),
                            FormatMilliseconds(held.expires_ - SteadyNow()),
                            YesNo(held.stopped_) });
  }
  return table;
}

Table
ConfigTable(control::ControlRuntime& aControl,
            const std::vector<std::vector<std::string>>& aLeaderRows)
{
  const core::configuration::ConfigurationView& view = aControl.Agent().View();
  Table table{ kConfigColumns, {} };
  const auto add = [&table](std::string aKey, std::string aValue) {
    table.rows_.push_back({ "", std::move(aKey), std::move(aValue) });
  };
  add("revision", std::to_string(view.state_.revision()));
  add("highest_revision_seen", std::to_string(view.highestRevisionSeen_));
  add("leader", aControl.Submitter().LeaderHint());
  table.rows_.insert(table.rows_.end(), aLeaderRows.begin(), aLeaderRows.end());
  for (const auto& row : core::configuration::SystemOptions()) {
    const std::string key(row.key_);
    add(key,
        core::configuration::SystemOptionText(view.state_.settings(), key));
  }
  for (const std::string& name : SortedGroups(aControl)) {
    const auto& options = FindGroup(aControl, name)->options();
    const std::map<std::string, std::string> sorted(options.begin(),
                                                    options.end());
    for (const auto& [key, value] : sorted) {
      table.rows_.push_back({ name, key, value });
    }
  }
  return table;
}

Table
MembersTable(control::ControlRuntime& aControl)
{
  Table table{ { "host", "role", "term", "commit_index", "note" }, {} };
  const control::ConsensusMember* const member = aControl.Member();
  if (member == nullptr) {
    table.rows_.push_back({ aControl.HostName(),
                            "none",
                            std::string(kUnknown),
                            std::string(kUnknown),
                            aControl.MemberFailure() });
    return table;
  }
  const core::consensus::ConsensusState& state = member->Consensus();
  for (const foundation::HostId& host :
       core::consensus::Members(state).voters()) {
    const bool self = host == aControl.HostName();
    const bool leads = host == state.leader_;
    table.rows_.push_back(
      { host,
        self ? RoleName(state.role_) : (leads ? "leader" : "voter"),
        self ? std::to_string(state.hardState_.term()) : std::string(kUnknown),
        self ? std::to_string(state.commitIndex_) : std::string(kUnknown),
        self && core::consensus::IsRecovering(state)
          ? "recovering: its disk was lost, it does not vote yet"
          : "" });
  }
  const wire::MemberChange& members = core::consensus::Members(state);
  for (const foundation::HostId& host : members.outgoing_voters()) {
    if (std::ranges::find(members.voters(), host) == members.voters().end()) {
      table.rows_.push_back(
        { host,
          "learner",
          std::string(kUnknown),
          std::string(kUnknown),
          "still votes: a change of members is under way" });
    }
  }
  return table;
}

namespace {

//! One row: number and text. Empty if this host holds no leader lease, or there
//! is no numbered configuration yet.
Table
DocumentTable(const control::ControlRuntime& aControl)
{
  Table table{ { "number", "document" }, {} };
  const wire::ControlState& state = aControl.Member()->Control();
  if (aControl.Member()->HoldsLease() && !state.document().empty()) {
    table.rows_.push_back(
      { std::to_string(state.document_number()), state.document() });
  }
  return table;
}

} // namespace

bool
IsLeader(const control::ControlRuntime& aControl)
{
  return aControl.Leader() != nullptr && aControl.Member()->IsReady();
}

Table
LeaderTable(control::ControlRuntime& aControl,
            const wire::OperatorQuestion& aQuestion)
{
  switch (aQuestion.kind_case()) {
    case wire::OperatorQuestion::kHosts:
      return HostsTable(aControl);
    case wire::OperatorQuestion::kHostsInForce:
      return InForceTable(aControl);
    case wire::OperatorQuestion::kWhyGroup:
      return WhyTable(aControl, aQuestion.why_group());
    case wire::OperatorQuestion::kDocument:
      return DocumentTable(aControl);
    case wire::OperatorQuestion::kExplainRead: // answered by owners
    case wire::OperatorQuestion::KIND_NOT_SET:
      return {};
  }
  return {};
}

Table
LastReasonTable(const std::string& aReason)
{
  return { kWhyColumns,
           { { std::string(kUnknown), aReason },
             { std::string(kUnknown),
               "no control leader answered; only it has the full list" } } };
}

Table
SessionsTable(const std::vector<traffic::SessionRow>& aRows)
{
  Table table{ { "session",
                 "group",
                 "tenant",
                 "address",
                 "waiting",
                 "in_transaction",
                 "floor" },
               {} };
  for (const traffic::SessionRow& row : aRows) {
    table.rows_.push_back({ std::to_string(row.number_),
                            row.group_,
                            row.tenant_,
                            row.address_,
                            YesNo(row.waiting_),
                            YesNo(row.inTransaction_),
                            foundation::ToString(row.floor_) });
  }
  return table;
}

Table
ReadChoicesTable(const std::vector<core::traffic::ReadChoice>& aChoices)
{
  Table table{ { "target", "eligible", "applied", "age_at_most_ms", "reason" },
               {} };
  for (const core::traffic::ReadChoice& choice : aChoices) {
    table.rows_.push_back(
      { choice.target_,
        YesNo(choice.eligible_),
        foundation::ToString(choice.applied_),
        choice.age_ ? FormatMilliseconds(*choice.age_) : std::string(kUnknown),
        choice.reason_ });
  }
  return table;
}

} // namespace wigeonlb::daemon::operations
