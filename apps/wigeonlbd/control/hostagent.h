#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/peerport.h"
#include "core/configuration/configurationview.h"
#include "core/grants/holder.h"
#include "core/membership/membership.h"
#include "recording/controltrace.h"
#include "storage/datafolder.h"
#include "traffic/trafficruntime.h"

namespace wigeonlb::daemon::control {

//! What the agent of a host is told at its start.
struct HostAgentSettings
{
  wire::HostInfo self_;
  std::vector<foundation::HostId> members_;
  //! The system is never without a configuration for long: callers wait for it.
  bool expectsConfiguration_ = false;
  foundation::Duration heartbeatInterval_{ 0 };
  std::uint64_t seed_ = 0;
  recording::TraceRecorder* trace_ = nullptr; //!< none: nothing is recorded
};

//! Every host's part in control: sends the heartbeat, holds the grants, keeps
//! the configuration in force and tells the traffic threads of it. Used on the
//! control thread.
class HostAgent
{
public:
  //! aFolder is null on a host without a data folder.
  HostAgent(HostAgentSettings aSettings,
            storage::DataFolder* aFolder,
            PeerPort& aPort,
            traffic::TrafficRuntime& aTraffic);

  //! Takes up what the data folder remembers.
  std::error_code Start();

  void OnTick();
  //! When the next tick has something to do.
  foundation::Instant NextDue() const { return core::grants::NextDue(holder_); }
  void OnReply(const wire::HeartbeatReply& aReply);
  void OnRevoke(const wire::RevokeGrant& aRevoke);
  void OnAnnouncement(const wire::Announcement& aAnnouncement);
  //! A target of whichever group says that it ends.
  void OnTargetRemoved(const foundation::TargetName& aTarget,
                       std::optional<std::uint64_t> aIncarnation);
  void OnReports(std::vector<wire::TargetReport> aReports);
  //! Connections that a group may have open to one target; frees what a share
  //! that became smaller gave back.
  void OnConnections(const foundation::GroupName& aGroup,
                     std::uint32_t aConnections);
  void OnReleased(const foundation::GroupName& aGroup, std::uint64_t aTerm);
  //! Sends the next heartbeat soon: news of the configuration is awaited.
  void ExpediteHeartbeat();
  void StartDraining();
  //! Nothing is in flight any more: gives every grant back.
  void ReleaseAll();

  //! Called when other control members are in force.
  std::function<void(const wire::MemberChange&)> onMembers_;

  //! Called with the live hosts whenever they change.
  std::function<void(const std::vector<wire::HostInfo>&)> onHosts_;

  //! Names that aren't known here are known nowhere.
  bool KnowsConfiguration() const
  {
    return !settings_.expectsConfiguration_ || view_.state_.revision() != 0;
  }

  //! When a leader last answered; the start before the first time.
  foundation::Instant GetLastLeaderContact() const
  {
    return lastLeaderContact_;
  }

  //! Since the start of the process.
  bool HasReachedLeader() const { return reachedLeader_; }

  //! No leader was found for long after the start.
  bool HasNoLeaderSinceStart() const { return noLeaderSinceStart_; }

  const core::configuration::ConfigurationView& View() const { return view_; }
  const core::grants::HolderState& Holder() const { return holder_; }
  const std::vector<wire::HostInfo>& Hosts() const { return hosts_; }
  const core::membership::MembershipState& Announced() const
  {
    return announced_;
  }
  //! Owners of a group as this host sees them, this host in front if it is one.
  std::vector<foundation::HostId> ListOwners(
    const wire::GroupState& aGroup) const;
  bool IsUsable(const wire::GroupState& aGroup,
                const wire::TargetState& aTarget) const;

private:
  void Feed(const core::grants::HolderEvent& aEvent);
  void Execute(const core::grants::SendHeartbeat& aAction);
  void Execute(const core::grants::GrantChanged& aAction);
  void Execute(const core::grants::StopNewWrites& aAction);
  void Execute(const core::grants::ConfigurationReceived& aAction);
  void Execute(const core::grants::HostsChanged& aAction);

  void ApplyMembers(const wire::HeartbeatReply& aReply);
  void ApplyUnusable(const wire::HeartbeatReply& aReply);
  void Publish();
  void PublishGroup(const wire::GroupState& aGroup);
  traffic::GroupRoute MakeRoute(const wire::GroupState& aGroup) const;
  static traffic::DatabaseRoute MakeRoute(const wire::DatabaseState& aDatabase);

  HostAgentSettings settings_;
  storage::DataFolder* folder_;
  PeerPort& port_;
  traffic::TrafficRuntime& traffic_;
  core::grants::HolderState holder_;
  foundation::Instant startedAt_ = foundation::SteadyNow();
  foundation::Instant lastLeaderContact_ = startedAt_;
  bool reachedLeader_ = false;
  bool noLeaderSinceStart_ =
    false; //!< no leader was heard for kNoLeaderTimeoutMs since the start
  core::configuration::ConfigurationView view_;
  core::membership::MembershipState announced_;
  std::vector<wire::HostInfo> hosts_;
  std::set<std::pair<foundation::GroupName, foundation::TargetName>> unusable_;
  std::set<foundation::GroupName> owned_; //!< published to the traffic threads
  std::map<foundation::GroupName, std::string> published_;
  std::map<foundation::GroupName, std::uint64_t> loggedTerms_; //!< 0: none
};

} // namespace wigeonlb::daemon::control
