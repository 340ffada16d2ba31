#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/contactreport.h"
#include "control/memorywriter.h"
#include "control/peerport.h"
#include "core/configuration/hostconfiguration.h"
#include "core/grants/holder.h"
#include "core/membership/membership.h"
#include "recording/controltrace.h"
#include "storage/datafolder.h"
#include "traffic/trafficruntime.h"

namespace wigeonlb::daemon::control {

//! Start parameters of a host agent.
struct HostAgentSettings
{
  wire::HostInfo self_;
  std::vector<foundation::HostId> members_;
  //! The system has a configuration or will receive one shortly. A name that is
  //! not found may still exist until this host has received it.
  bool expectsConfiguration_ = false;
  foundation::Duration heartbeatInterval_{ 0 };
  std::uint64_t seed_ = 0;
  recording::TraceRecorder* trace_ = nullptr; //!< null: nothing is recorded
};

//! The part of control that runs on every host: sends heartbeats, holds the
//! host's grants, keeps the configuration in force and publishes it to the
//! traffic threads. Used on the control thread.
class HostAgent
{
public:
  //! aFolder is null on a host without a data folder. aContext is run by the
  //! control thread.
  HostAgent(boost::asio::io_context& aContext,
            HostAgentSettings aSettings,
            storage::DataFolder* aFolder,
            PeerPort& aPort,
            traffic::TrafficRuntime& aTraffic);

  //! Loads the configuration that was stored in the data folder.
  std::error_code Start();
  //! Waits for the write in progress to the data folder. The control thread
  //! must have ended.
  void Stop() { writer_.reset(); }

  void OnTick();
  //! Time at which the next tick is due.
  foundation::Instant NextDue() const { return core::grants::NextDue(holder_); }
  void OnReply(const wire::HeartbeatReply& aReply);
  //! Answers a heartbeat that reached this host although it is no control
  //! member: the sender hears no member, and those that it knows may be gone.
  void OnHeartbeat(const wire::Heartbeat& aHeartbeat);
  //! A host that this one did not know has sent it a heartbeat.
  void OnSender(const foundation::HostId& aHost);
  void OnRevoke(const wire::RevokeGrant& aRevoke);
  void OnAnnouncement(const wire::Announcement& aAnnouncement);
  //! Handles the notice of a target, in any group, that it is shutting down and
  //! will not return.
  void OnTargetRemoved(const foundation::TargetName& aTarget,
                       std::optional<std::uint64_t> aIncarnation);
  void OnReports(std::vector<wire::TargetReport> aReports);
  //! Updates the number of connections that a group may have open to one
  //! target. After its share was reduced, this frees the difference for other
  //! hosts.
  void OnConnections(const foundation::GroupName& aGroup,
                     std::uint32_t aConnections);
  //! Replaces the hosts named in the settings. The control members known so far
  //! are still asked.
  void OnSeeds(std::vector<foundation::HostId> aSeeds);
  //! Replaces the control members that this host's own log names; they are
  //! asked like those named in the settings.
  void OnStoredMembers(std::vector<foundation::HostId> aMembers);
  void OnReleased(const foundation::GroupName& aGroup,
                  foundation::TermEpoch aTerm);
  //! Brings the next heartbeat forward to receive a configuration update.
  void ExpediteHeartbeat();
  void StartDraining();
  //! Releases every grant; no request may be in flight any more.
  void ReleaseAll();

  //! Called when the control members have changed.
  std::function<void(const wire::MemberChange&)> onMembers_;

  //! Called with the live hosts whenever they change.
  std::function<void(const std::vector<wire::HostInfo>&)> onHosts_;

  //! Whether this host has a configuration in force or expects none.
  bool KnowsConfiguration() const
  {
    return !configuration_.expected_ || View().state_.revision() != 0;
  }

  //! Whether a leader has confirmed the configuration since the start, so that
  //! this host may begin with it, or none is expected.
  bool HasConfirmedConfiguration() const
  {
    return !configuration_.expected_ || configuration_.confirmed_;
  }

  //! Time of the last reply from a leader; the process's start if there was
  //! none.
  foundation::Instant GetLastLeaderContact() const
  {
    return lastLeaderContact_;
  }

  //! Whether a leader has replied since the start of the process.
  bool HasReachedLeader() const { return reachedLeader_; }

  //! Whether no leader replied within kNoLeaderTimeoutMs of the start, nor
  //! since.
  bool HasNoLeaderSinceStart() const
  {
    return configuration_.noLeaderSinceStart_;
  }

  //! The configuration in force.
  const core::configuration::ConfigurationView& View() const
  {
    return configuration_.inForce_;
  }
  const core::grants::HolderState& Holder() const { return holder_; }
  const std::vector<wire::HostInfo>& Hosts() const { return hosts_; }
  const core::membership::MembershipState& Announced() const
  {
    return announced_;
  }
  //! Owners of a group according to this host's list of live hosts: this host
  //! first if it is an owner, then those of its data centre.
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

  //! Whether a configuration was received that is not in force yet.
  bool HasNewerThanInForce() const
  {
    return GetReceivedRevision() > View().state_.revision();
  }
  foundation::Revision GetReceivedRevision() const
  {
    return configuration_.received_.state_.revision();
  }
  //! Stores the configuration that was received last, then puts it in force.
  void UseReceived();
  //! Notes what a leader has confirmed, which may put the configuration
  //! received last in force.
  void ApplyConfirmation(const wire::HeartbeatReply& aReply);
  void UpdateTableConfirmation();
  //! Logs once that no leader has replied for kLeaderSilenceMs, once that one
  //! replies again, and the members that this host asks.
  void ReportContact(foundation::Instant aNow);
  void PutInForce(const core::configuration::ConfigurationView& aView);
  void ApplyMembers(const wire::HeartbeatReply& aReply);
  //! Adds the hosts named in the settings, and by this host's own log, to a
  //! list of members.
  std::vector<foundation::HostId> WithSeeds(
    std::vector<foundation::HostId> aMembers) const;
  void ApplyUnusable(const wire::HeartbeatReply& aReply);
  void Publish();
  void PublishGroup(const wire::GroupState& aGroup);
  traffic::GroupRoute MakeRoute(const wire::GroupState& aGroup) const;
  static traffic::DatabaseRoute MakeRoute(const wire::DatabaseState& aDatabase);

  boost::asio::io_context& context_;
  HostAgentSettings settings_;
  storage::DataFolder* folder_;
  PeerPort& port_;
  traffic::TrafficRuntime& traffic_;
  core::grants::HolderState holder_;
  std::vector<foundation::HostId> storedMembers_; //!< named by the own log
  wire::MemberChange members_;                    //!< at holder_.membersIndex_
  foundation::Instant startedAt_ = foundation::SteadyNow();
  foundation::Instant lastLeaderContact_ = startedAt_;
  bool reachedLeader_ = false;
  LeaderContact leaderContact_{ startedAt_ };
  core::configuration::HostConfiguration configuration_;
  //! Of the routes that were published last; null before the first, and on a
  //! host without control members.
  std::shared_ptr<traffic::TableConfirmation> tableConfirmation_;
  foundation::HostId receivedFrom_;      //!< sender of configuration_.received_
  std::unique_ptr<MemoryWriter> writer_; //!< null without a data folder
  core::membership::MembershipState announced_;
  std::vector<wire::HostInfo> hosts_;
  std::set<std::pair<foundation::GroupName, foundation::TargetName>> unusable_;
  std::set<foundation::GroupName> owned_; //!< published to the traffic threads
  //! Fingerprint of the group state that was last published.
  std::map<foundation::GroupName, std::string> published_;
  std::map<foundation::GroupName, std::uint64_t> loggedTerms_; //!< 0: none
};

} // namespace wigeonlb::daemon::control
