#include "control/controlruntime.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/consensus/memberplan.h"
#include "foundation/logging.h"
#include "settings/filelimit.h"
#include "storage/filesystem.h"

namespace wigeonlb::daemon::control {

namespace {

using foundation::Duration;

//! Interval between ticks of the leader's logic while this host leads.
constexpr Duration kLeaderTickMs = std::chrono::milliseconds(20);

//! Rate of configuration snapshots of a host that is reserved for control,
//! whose link carries nothing for callers.
constexpr std::uint64_t kReservedSnapshotBytesPerSecond = std::uint64_t{ 8 }
                                                          << 20U;

//! Minimum time between two ticks.
constexpr Duration kMinTickIntervalMs = std::chrono::milliseconds(2);

//! Interval of the checks whether an accepted change is in force.
constexpr Duration kInForceCheckIntervalMs = std::chrono::milliseconds(20);

//! Maximum wait for an accepted change to be in force on the host that
//! submitted it.
constexpr Duration kInForceTimeoutMs = std::chrono::milliseconds(2000);

//! Time for the last answers and releases to leave a host that stops.
constexpr Duration kLastSendLimitMs = std::chrono::milliseconds(150);

//! Interval at which target reports are collected from the traffic threads.
constexpr Duration kReportIntervalMs = std::chrono::milliseconds(240);

std::vector<foundation::HostId>
ListMemberNames(const settings::DaemonSettings& aSettings)
{
  std::vector<foundation::HostId> names;
  for (const settings::ControlMember& member : aSettings.controlMembers_) {
    names.push_back(member.host_);
  }
  return names;
}

} // namespace

ControlRuntime::ControlRuntime(const settings::DaemonSettings& aSettings,
                               std::uint64_t aBoot,
                               const target::Protocol& aTargets,
                               PromotionPort aPromote,
                               traffic::TrafficRuntime& aTraffic,
                               recording::TraceRecorder* aTrace)
  : settings_(aSettings)
  , boot_(aBoot)
  , targets_(aTargets)
  , promote_(std::move(aPromote))
  , traffic_(aTraffic)
  , trace_(aTrace)
  , work_(boost::asio::make_work_guard(context_))
{
}

ControlRuntime::~ControlRuntime()
{
  Stop();
}

std::error_code
ControlRuntime::Start(foundation::Findings& aFindings)
{
  if (!settings_.dataFolder_.empty()) {
    const std::error_code error =
      storage::OpenDataFolder(storage::PosixFileSystem(),
                              settings_.dataFolder_,
                              settings_.hostId_,
                              folder_);
    if (error) {
      foundation::AddFinding(aFindings,
                             "--data-folder",
                             settings_.dataFolder_ + ": " + error.message());
      return error;
    }
  }

  peer::PeerLinksSettings links;
  links.host_ = settings_.hostId_;
  links.boot_ = boot_;
  links.listenAddress_ = settings_.peerAddress_.ip_ + ":" +
                         std::to_string(settings_.peerAddress_.port_);
  links.announcedAddress_ = settings_.peerAnnouncedAddress_;
  if (!settings::AcceptsCallers(settings_)) {
    links.snapshotRate_ = kReservedSnapshotBytesPerSecond;
  }
  peer::PeerLinksCallbacks callbacks;
  callbacks.onMessage_ = [this](wire::PeerMessage&& aMessage) {
    OnPeerMessage(std::move(aMessage));
  };
  callbacks.onPeerLost_ = [this](const foundation::HostId& aHost) {
    lostPeers_.SetReachable(aHost, false);
    traffic_.OnHostLost(aHost);
  };
  callbacks.onPeerRestarted_ = [this](const foundation::HostId& aHost,
                                      std::uint64_t aBoot) {
    foundation::LogChange("peer", "peer-restarted", { { "host", aHost } });
    traffic_.OnHostRestarted(aHost, aBoot);
  };
  callbacks.onPeerReachable_ = [this](const foundation::HostId& aHost) {
    lostPeers_.SetReachable(aHost, true);
    traffic_.OnHostReachable(aHost);
  };
  links_ = std::make_unique<peer::PeerLinks>(links, callbacks);

  HostAgentSettings agent;
  agent.self_.set_host(settings_.hostId_);
  agent.self_.set_data_centre(settings_.dataCentre_);
  agent.self_.set_peer_address(settings_.peerAnnouncedAddress_);
  agent.self_.set_boot(boot_);
  agent.self_.set_control_only(!settings::AcceptsCallers(settings_));
  agent.self_.set_may_vote(settings::MayBecomeControlMember(settings_));
  agent.self_.set_knows_epochs(true);
  agent.members_ = ListMemberNames(settings_);
  agent.expectsConfiguration_ = !settings_.controlSeeds_.empty();
  agent.heartbeatInterval_ = settings_.heartbeatInterval_;
  agent.seed_ = boot_;
  agent.trace_ = trace_;
  agent_ = std::make_unique<HostAgent>(context_,
                                       agent,
                                       settings_.dataFolder_.empty() ? nullptr
                                                                     : &folder_,
                                       *this,
                                       traffic_);
  agent_->onHosts_ = [this](const std::vector<wire::HostInfo>& aHosts) {
    hosts_ = aHosts;
    unlistedHosts_.clear();
    SetPeers();
  };
  agent_->onMembers_ = [this](const wire::MemberChange& aMembers) {
    ApplyMembers(aMembers);
  };
  for (const settings::ControlMember& member : settings_.controlMembers_) {
    seedAddresses_[member.host_] = member.peerAddress_;
  }
  memberAddresses_ = seedAddresses_;

  const bool member = settings_.controlSeeds_.empty()
                        ? settings::IsControlMember(settings_)
                        : settings::MayBecomeControlMember(settings_);
  if (member) {
    if (const std::error_code error = StartMember(aFindings)) {
      return error;
    }
  }
  submitter_ = std::make_unique<ChangeSubmitter>(
    settings_.hostId_, boot_, ListMemberNames(settings_), member_.get(), *this);
  if (!settings_.controlSeeds_.empty()) {
    submitter_->SetMinVoters(GetWantedVoterCount());
  }

  if (const std::error_code error = links_->Start()) {
    foundation::AddFinding(aFindings, "--peer-address", error.message());
    return error;
  }
  SetPeers();
  if (const std::error_code error = agent_->Start()) {
    foundation::AddFinding(aFindings, "--data-folder", error.message());
    return error;
  }
  UseStoredMembers();
  thread_ = std::thread([this] { Run(); });
  return {};
}

std::error_code
ControlRuntime::StartMember(foundation::Findings& aFindings)
{
  MemberCallbacks callbacks;
  callbacks.send_ = [this](const wire::ConsensusMessage& aMessage) {
    wire::PeerMessage message;
    *message.mutable_consensus() = aMessage;
    SendControl(aMessage.to(), std::move(message));
  };
  callbacks.applying_ = [this](const wire::ConsensusEntry& aEntry) {
    recording::RecordApplied(trace_, aEntry);
  };
  callbacks.applied_ = [this](std::uint64_t aIndex,
                              const core::configuration::ApplyResult& aResult) {
    submitter_->OnApplied(aIndex, aResult);
    leader_->OnApplied(aResult);
  };
  callbacks.replaced_ = [this] {
    recording::RecordControlState(trace_, member_->Control());
    leader_->OnReplaced();
  };
  callbacks.leadership_ =
    [this](const core::consensus::LeadershipChanged& aChange) {
      recording::RecordLeadership(trace_, aChange);
      submitter_->SetLeaderHint(aChange.leader_);
      leader_->OnLeadership(aChange);
    };
  callbacks.decided_ =
    [this](const core::consensus::ProposalDecided& aDecision) {
      submitter_->OnDecided(aDecision);
    };
  member_ = std::make_unique<ConsensusMember>(folder_, std::move(callbacks));
  const target::Login login{
    settings_.targetUser_, target::MakeApplicationName(settings_.hostId_, boot_)
  };
  leader_ = std::make_unique<LeaderDriver>(
    context_, settings_.hostId_, login, targets_, promote_, *member_, *this);
  quota_ = std::make_unique<QuotaService>(
    settings_.quotaTolerance_, *member_, *leader_, *this);
  if (!settings_.controlSeeds_.empty()) {
    leader_->SetWantedVoters(GetWantedVoterCount());
  }
  if (trace_ != nullptr) {
    leader_->onStep_ =
      [this](const core::failover::FailoverEvent& aEvent,
             std::span<const core::failover::FailoverAction> aActions,
             foundation::Instant aNow) {
        recording::RecordFailoverStep(trace_, aEvent, aActions, aNow);
      };
  }
  core::consensus::ConsensusSettings consensus;
  consensus.self_ = settings_.hostId_;
  if (settings_.controlSeeds_.empty() || settings_.founding_) {
    consensus.founders_ = ListMemberNames(settings_);
    for (const settings::ControlMember& member : settings_.controlMembers_) {
      consensus.founderAddresses_[member.host_] = member.peerAddress_;
    }
  }
  consensus.seed_ = boot_;
  const std::error_code error = member_->Start(consensus, aFindings);
  if (error) {
    // The host continues to serve callers, but a member with damaged data must
    // not vote.
    memberFailure_ = error.message() + "; " + foundation::ToString(aFindings);
    foundation::LogWarning(
      "control", "member-not-started", { { "reason", memberFailure_ } });
    aFindings.clear();
    quota_.reset();
    member_.reset();
    leader_.reset();
    return {};
  }
  recording::RecordControlState(trace_, member_->Control());
  LogMemberStarted();
  return {};
}

void
ControlRuntime::LogMemberStarted() const
{
  const core::consensus::ReplicatedLog& log = member_->Consensus().log_;
  const wire::MemberChange& members = core::consensus::CurrentMembers(log);
  std::string notInSettings;
  for (const auto& [host, address] : members.addresses()) {
    if (host != settings_.hostId_ && !memberAddresses_.contains(host)) {
      notInSettings += (notInSettings.empty() ? "" : ",") + host;
    }
  }
  foundation::LogChange(
    "control",
    "member-started",
    { { "last", std::to_string(core::consensus::LastIndex(log)) },
      { "voters", std::to_string(members.voters_size()) },
      { "learners", std::to_string(members.learners_size()) },
      { "members_not_in_settings", notInSettings } });
}

void
ControlRuntime::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  links_->Stop(kLastSendLimitMs);
  work_.reset();
  context_.stop();
  thread_.join();
  agent_->Stop();
  storage::CloseDataFolder(folder_);
}

void
ControlRuntime::SetOperatorMessageHandler(OperatorMessageHandler aHandler)
{
  onOperatorMessage_ = std::move(aHandler);
}

void
ControlRuntime::Run()
{
  while (!context_.stopped()) {
    const Duration pause = std::max(NextDue(), lastTick_ + kMinTickIntervalMs) -
                           foundation::SteadyNow();
    if (pause <= Duration::zero()) {
      OnTick();
      // Handles pending events even if the next tick is always due already.
      context_.poll();
    } else {
      context_.run_one_for(pause);
    }
  }
}

//! Computed after every event, as each event may change it.
foundation::Instant
ControlRuntime::NextDue() const
{
  foundation::Instant due =
    std::min({ nextReports_, agent_->NextDue(), submitter_->NextDue() });
  if (member_ != nullptr) {
    due = std::min(due, member_->NextDue());
  }
  if (leader_ != nullptr && leader_->IsLeading()) {
    due = std::min(due, lastTick_ + kLeaderTickMs);
  }
  if (!decidedChanges_.empty() || !announcements_.empty()) {
    due = std::min(due, lastTick_ + kInForceCheckIntervalMs);
  }
  return due;
}

void
ControlRuntime::OnTick()
{
  lastTick_ = foundation::SteadyNow();
  if (member_ != nullptr) {
    member_->Feed(core::consensus::Tick{});
    leader_->OnTick();
  }
  agent_->OnTick();
  submitter_->OnTick();
  AnswerChangesInForce();
  AnswerAnnouncements();
  CheckMayEnd();
  if (lastTick_ >= nextReports_) {
    nextReports_ = lastTick_ + kReportIntervalMs;
    traffic_.CollectReports();
    CheckIsolation();
    UseStoredMembers();
    ReportMembers();
  }
}

void
ControlRuntime::OnAnnouncement(wire::Announcement aAnnouncement,
                               AnnouncementDone aDone)
{
  agent_->OnAnnouncement(aAnnouncement);
  if (MayAcknowledge(agent_->View().state_, aAnnouncement)) {
    aDone(true);
    return;
  }
  const foundation::Instant now = foundation::SteadyNow();
  if (now - agent_->GetLastLeaderContact() > kRecordLimitMs) {
    aDone(false); // no leader could record it in time
    return;
  }
  AddWaiting(announcements_, std::move(aAnnouncement), std::move(aDone), now);
  agent_->ExpediteHeartbeat();
}

void
ControlRuntime::AnswerAnnouncements()
{
  if (announcements_.empty()) {
    return;
  }
  AnswerRecorded(
    announcements_, agent_->View().state_, foundation::SteadyNow());
  if (!announcements_.empty()) {
    agent_->ExpediteHeartbeat();
  }
}

void
ControlRuntime::SubmitChange(wire::ConfigurationChange aChange,
                             ChangeDone aDone)
{
  submitter_->Submit(
    std::move(aChange),
    [this, done = std::move(aDone)](const ChangeAnswer& aAnswer) {
      decidedChanges_.push_back(
        { aAnswer, done, foundation::SteadyNow() + kInForceTimeoutMs });
      AnswerChangesInForce();
    });
}

void
ControlRuntime::AnswerChangesInForce()
{
  const foundation::Revision inForce = agent_->View().state_.revision();
  const foundation::Instant now = foundation::SteadyNow();
  const auto isDue = [&](const DecidedChange& aChange) {
    const bool accepted = aChange.answer_.outcome_ == ChangeOutcome::Decided &&
                          aChange.answer_.result_.accepted();
    return !accepted || aChange.answer_.result_.revision() <= inForce ||
           now >= aChange.answerAt_;
  };
  const auto due = std::stable_partition(
    decidedChanges_.begin(),
    decidedChanges_.end(),
    [&](const DecidedChange& aChange) { return !isDue(aChange); });
  const std::vector<DecidedChange> answered(
    std::make_move_iterator(due),
    std::make_move_iterator(decidedChanges_.end()));
  decidedChanges_.erase(due, decidedChanges_.end());
  if (!decidedChanges_.empty()) {
    agent_->ExpediteHeartbeat();
  }
  for (const DecidedChange& change : answered) {
    change.done_(change.answer_);
  }
}

void
ControlRuntime::PostReports(std::vector<wire::TargetReport> aReports)
{
  if (aReports.empty()) {
    return;
  }
  boost::asio::post(context_, [this, reports = std::move(aReports)]() mutable {
    agent_->OnReports(std::move(reports));
  });
}

void
ControlRuntime::PostConnections(const foundation::GroupName& aGroup,
                                std::uint32_t aConnections)
{
  boost::asio::post(context_, [this, aGroup, aConnections] {
    agent_->OnConnections(aGroup, aConnections);
  });
}

void
ControlRuntime::PostReleased(const foundation::GroupName& aGroup,
                             foundation::TermEpoch aTerm)
{
  boost::asio::post(
    context_, [this, aGroup, aTerm] { agent_->OnReleased(aGroup, aTerm); });
}

void
ControlRuntime::PostDraining()
{
  boost::asio::post(context_, [this] {
    draining_ = true;
    agent_->StartDraining();
    if (member_ != nullptr) {
      member_->Feed(core::consensus::Leave{});
    }
    CheckMayEnd();
  });
}

void
ControlRuntime::CheckMayEnd()
{
  mayEnd_ = draining_ && (member_ == nullptr ||
                          core::consensus::MayLeave(member_->Consensus(),
                                                    foundation::SteadyNow()));
}

void
ControlRuntime::PostReleaseAll(std::function<void()> aDone)
{
  boost::asio::post(context_, [this, done = std::move(aDone)] {
    agent_->ReleaseAll();
    done();
  });
}

} // namespace wigeonlb::daemon::control
