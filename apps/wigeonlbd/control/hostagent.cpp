#include "control/hostagent.h"

#include <algorithm>

#include "foundation/logging.h"
#include "storage/memberstore.h"

namespace wigeonlb::daemon::control {

namespace {

namespace configuration = core::configuration;
namespace grants = core::grants;
using foundation::SteadyNow;

//! A host that receives no reply from a control leader for this long after its
//! start is isolated, and serves reads from the targets that it can reach.
constexpr foundation::Duration kNoLeaderTimeoutMs =
  std::chrono::milliseconds(5000);

} // namespace

HostAgent::HostAgent(boost::asio::io_context& aContext,
                     HostAgentSettings aSettings,
                     storage::DataFolder* aFolder,
                     PeerPort& aPort,
                     traffic::TrafficRuntime& aTraffic)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , folder_(aFolder)
  , port_(aPort)
  , traffic_(aTraffic)
  , holder_(
      grants::MakeHolder(settings_.self_, settings_.members_, settings_.seed_))
{
  hosts_.push_back(settings_.self_);
  configuration_.expected_ = settings_.expectsConfiguration_;
}

std::error_code
HostAgent::Start()
{
  if (folder_ != nullptr) {
    wire::HostMemory memory;
    if (const std::error_code error =
          storage::LoadHostMemory(*folder_, memory)) {
      return error;
    }
    configuration_.received_ = configuration::FromMemory(memory);
    if (configuration::MayPutInForce(configuration_)) {
      configuration_.inForce_ = configuration_.received_;
    }
    writer_ = std::make_unique<MemoryWriter>(
      context_,
      *folder_,
      [this](const configuration::ConfigurationView& aView,
             std::error_code aError) {
        if (aError) {
          foundation::LogWarning(
            "agent", "memory-not-saved", { { "error", aError.message() } });
        }
        PutInForce(aView);
      });
    Feed(grants::RevisionInForce{ View().state_.revision() });
    recording::RecordRevision(settings_.trace_, View().state_.revision());
  }
  Publish();
  return {};
}

void
HostAgent::OnTick()
{
  const foundation::Instant now = SteadyNow();
  core::membership::RemoveExpired(announced_, now);
  Feed(grants::Tick{});
  ReportContact(now);
  if (!reachedLeader_ && !configuration_.noLeaderSinceStart_ &&
      now - startedAt_ > kNoLeaderTimeoutMs) {
    configuration_.noLeaderSinceStart_ = true;
    if (HasNewerThanInForce()) {
      UseReceived();
    }
    Publish();
  }
}

void
HostAgent::ReportContact(foundation::Instant aNow)
{
  const foundation::Instant before = leaderContact_.last_;
  const auto change =
    NoteLeaderContact(leaderContact_, lastLeaderContact_, aNow);
  if (!change) {
    return;
  }
  std::string members;
  for (const foundation::HostId& member : holder_.members_) {
    members += (members.empty() ? "" : ",") + member;
  }
  const bool isLost = *change == ContactChange::Lost;
  foundation::LogChange(
    "agent",
    isLost ? "leader-not-heard" : "leader-heard-again",
    { { "for_ms", std::to_string(foundation::ToMilliseconds(aNow - before)) },
      { "members", members },
      { "members_index", std::to_string(holder_.membersIndex_) } });
}

void
HostAgent::OnReply(const wire::HeartbeatReply& aReply)
{
  if (!grants::IsForThisStart(holder_, aReply)) {
    return;
  }
  if (aReply.leader()) {
    reachedLeader_ = true;
    lastLeaderContact_ = SteadyNow();
    configuration_.noLeaderSinceStart_ = false;
    ApplyUnusable(aReply);
  }
  ApplyMembers(aReply);
  configuration::NoteConfirmation(configuration_, aReply, SteadyNow());
  Feed(grants::ReplyReceived{ aReply });
  ApplyConfirmation(aReply);
}

void
HostAgent::ApplyConfirmation(const wire::HeartbeatReply& aReply)
{
  if (configuration::ConfirmReceived(configuration_, aReply) &&
      HasNewerThanInForce()) {
    UseReceived();
  }
  UpdateTableConfirmation();
}

void
HostAgent::UpdateTableConfirmation()
{
  if (tableConfirmation_ != nullptr) {
    tableConfirmation_->Set(configuration::FindConfirmation(configuration_));
  }
}

//! Heartbeats still go to the hosts named in the settings as well: they may
//! know the current members after all members known here were removed.
void
HostAgent::ApplyMembers(const wire::HeartbeatReply& aReply)
{
  if (!aReply.has_members() ||
      aReply.members_index() <= holder_.membersIndex_) {
    return;
  }
  std::vector<foundation::HostId> members(aReply.members().voters().begin(),
                                          aReply.members().voters().end());
  // Learners can relay heartbeats.
  members.insert(members.end(),
                 aReply.members().learners().begin(),
                 aReply.members().learners().end());
  foundation::LogChange(
    "agent",
    "members-changed",
    { { "voters", std::to_string(aReply.members().voters_size()) },
      { "index", std::to_string(aReply.members_index()) } });
  members_ = aReply.members();
  if (onMembers_) {
    onMembers_(members_);
  }
  Feed(grants::MembersChanged{ WithSeeds(std::move(members)),
                               aReply.members_index() });
}

std::vector<foundation::HostId>
HostAgent::WithSeeds(std::vector<foundation::HostId> aMembers) const
{
  const auto add = [&](const foundation::HostId& aHost) {
    if (std::ranges::find(aMembers, aHost) == aMembers.end()) {
      aMembers.push_back(aHost);
    }
  };
  std::ranges::for_each(settings_.members_, add);
  std::ranges::for_each(storedMembers_, add);
  return aMembers;
}

void
HostAgent::OnSeeds(std::vector<foundation::HostId> aSeeds)
{
  settings_.members_ = std::move(aSeeds);
  Feed(grants::MembersChanged{ WithSeeds(holder_.members_),
                               holder_.membersIndex_ });
}

void
HostAgent::OnStoredMembers(std::vector<foundation::HostId> aMembers)
{
  storedMembers_ = std::move(aMembers);
  Feed(grants::MembersChanged{ WithSeeds(holder_.members_),
                               holder_.membersIndex_ });
}

void
HostAgent::OnHeartbeat(const wire::Heartbeat& aHeartbeat)
{
  if (aHeartbeat.members_index() >= holder_.membersIndex_) {
    return;
  }
  wire::PeerMessage message;
  wire::HeartbeatReply& reply = *message.mutable_heartbeat_reply();
  reply.set_from(settings_.self_.host());
  reply.set_boot(aHeartbeat.sender().boot());
  reply.set_sequence(aHeartbeat.sequence());
  reply.set_sent_at_us(aHeartbeat.sent_at_us());
  *reply.mutable_members() = members_;
  reply.set_members_index(holder_.membersIndex_);
  port_.SendControl(aHeartbeat.sender().host(), std::move(message));
}

void
HostAgent::OnSender(const foundation::HostId& aHost)
{
  Feed(grants::SenderHeard{ aHost });
}

void
HostAgent::OnRevoke(const wire::RevokeGrant& aRevoke)
{
  foundation::LogChange("agent",
                        "grant-revoked",
                        { { "group", aRevoke.key().group() },
                          { "term", std::to_string(aRevoke.key().term()) } });
  Feed(grants::RevokeReceived{ aRevoke });
}

void
HostAgent::OnAnnouncement(const wire::Announcement& aAnnouncement)
{
  const bool accepted =
    core::membership::NoteAnnouncement(announced_, aAnnouncement, SteadyNow());
  if (!accepted) {
    return; // outdated
  }
  Feed(grants::AnnouncementReceived{ aAnnouncement });
  if (aAnnouncement.leaving()) {
    const auto group = View().state_.groups().find(aAnnouncement.group());
    if (group != View().state_.groups().end()) {
      PublishGroup(group->second);
    }
  }
}

void
HostAgent::OnTargetRemoved(const foundation::TargetName& aTarget,
                           std::optional<std::uint64_t> aIncarnation)
{
  std::vector<wire::Announcement> announcements;
  for (const auto& [name, group] : View().state_.groups()) {
    const wire::TargetState* const target =
      configuration::FindTarget(group, aTarget);
    if (target == nullptr ||
        aIncarnation.value_or(target->incarnation()) != target->incarnation()) {
      continue;
    }
    wire::Announcement& announcement = announcements.emplace_back();
    announcement.set_group(name);
    announcement.set_target(aTarget);
    announcement.set_address(target->address());
    announcement.set_incarnation(target->incarnation());
    announcement.set_leaving(true);
    announcement.set_gone(true);
  }
  for (const wire::Announcement& announcement : announcements) {
    OnAnnouncement(announcement);
  }
}

void
HostAgent::OnReports(std::vector<wire::TargetReport> aReports)
{
  Feed(grants::ReportsChanged{ std::move(aReports) });
}

void
HostAgent::OnConnections(const foundation::GroupName& aGroup,
                         std::uint32_t aConnections)
{
  Feed(grants::ShareInUse{ aGroup, aConnections });
}

void
HostAgent::OnReleased(const foundation::GroupName& aGroup,
                      foundation::TermEpoch aTerm)
{
  Feed(grants::DrainedForRelease{ aGroup, aTerm });
}

void
HostAgent::ExpediteHeartbeat()
{
  holder_.nextHeartbeat_ = std::min(
    holder_.nextHeartbeat_, holder_.lastSent_ + grants::kUrgentIntervalMs);
}

void
HostAgent::StartDraining()
{
  Feed(grants::DrainingStarted{});
}

void
HostAgent::ReleaseAll()
{
  std::vector<std::pair<foundation::GroupName, foundation::TermEpoch>> held;
  for (const auto& [group, grant] : holder_.grants_) {
    held.emplace_back(group, foundation::GetTermEpoch(grant.grant_));
  }
  for (const auto& [group, term] : held) {
    Feed(grants::DrainedForRelease{ group, term });
  }
  // The process ends before the next heartbeat would be due.
  holder_.nextHeartbeat_ = SteadyNow();
  Feed(grants::Tick{});
}

void
HostAgent::Feed(const grants::HolderEvent& aEvent)
{
  std::vector<grants::HolderAction> actions;
  // Before the event, which may release a grant.
  for (wire::AcknowledgedWrites& writes : traffic_.Acknowledged().Take()) {
    grants::Step(holder_,
                 grants::WritesAcknowledged{ std::move(writes) },
                 SteadyNow(),
                 actions);
  }
  grants::Step(holder_, aEvent, SteadyNow(), actions);
  for (const grants::HolderAction& action : actions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
}

void
HostAgent::Execute(const grants::SendHeartbeat& aAction)
{
  wire::PeerMessage message;
  *message.mutable_heartbeat() = aAction.heartbeat_;
  recording::RecordReleases(settings_.trace_, aAction.heartbeat_);
  port_.SendControl(aAction.member_, std::move(message));
}

void
HostAgent::Execute(const grants::GrantChanged& aAction)
{
  core::traffic::GrantChanged event;
  std::uint64_t& logged = loggedTerms_[aAction.group_];
  const std::uint64_t term = aAction.grant_ ? aAction.grant_->term() : 0;
  if (logged != term) {
    foundation::LogChange(
      "agent",
      term == 0 ? "grant-ended" : "grant-held",
      { { "group", aAction.group_ },
        { "term", std::to_string(std::max(logged, term)) } });
    logged = term;
  }
  if (aAction.grant_) {
    const wire::Grant& grant = *aAction.grant_;
    event.grant_ = core::traffic::HeldGrant{
      grant.term(), grant.primary(), grant.connection_share(), aAction.expires_
    };
    event.grant_->epoch_ = grant.epoch();
    for (const grants::HolderKey& holder : aAction.ended_) {
      event.grant_->endedHolders_.push_back(
        target::MakeApplicationName(holder.host_, holder.boot_));
    }
  }
  traffic_.ChangeGrant(aAction.group_, event);
}

void
HostAgent::Execute(const grants::StopNewWrites& aAction)
{
  core::traffic::StopNewWrites event;
  event.term_ = aAction.term_;
  event.revoked_ = aAction.revoked_;
  event.epoch_ = aAction.epoch_;
  event.drain_ =
    std::max(aAction.releaseBy_ - SteadyNow(), foundation::Duration::zero());
  traffic_.StopNewWrites(aAction.group_, event);
}

void
HostAgent::Execute(const grants::ConfigurationReceived& aAction)
{
  const foundation::Revision before = GetReceivedRevision();
  const bool isUsable =
    configuration::ReceiveConfiguration(configuration_, aAction.reply_);
  if (GetReceivedRevision() != before) {
    receivedFrom_ = aAction.reply_.from();
  }
  if (isUsable) {
    UseReceived();
  }
}

void
HostAgent::UseReceived()
{
  if (writer_ != nullptr) {
    writer_->Save(configuration_.received_);
  } else {
    PutInForce(configuration_.received_);
  }
}

void
HostAgent::PutInForce(const configuration::ConfigurationView& aView)
{
  configuration_.inForce_.state_ = aView.state_;
  const bool isConfirmed = configuration::MayRefuseNames(
    configuration::FindConfirmation(configuration_), SteadyNow());
  foundation::LogChange(
    "agent",
    "configuration-in-force",
    { { "revision", std::to_string(View().state_.revision()) },
      { "confirmed", isConfirmed ? "true" : "false" },
      { "from", receivedFrom_ },
      { "leader_heard_ms",
        std::to_string(
          foundation::ToMilliseconds(SteadyNow() - lastLeaderContact_)) } });
  recording::RecordRevision(settings_.trace_, View().state_.revision());
  Publish();
  Feed(grants::RevisionInForce{ View().state_.revision() });
}

void
HostAgent::Execute(const grants::HostsChanged& aAction)
{
  hosts_ = aAction.hosts_;
  foundation::LogChange(
    "agent", "hosts-changed", { { "live", std::to_string(hosts_.size()) } });
  if (onHosts_) {
    onHosts_(hosts_);
  }
  Publish();
}

} // namespace wigeonlb::daemon::control
