#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "control/announcementgate.h"
#include "control/changesubmitter.h"
#include "control/hostagent.h"
#include "control/leaderdriver.h"
#include "control/lostpeers.h"
#include "control/memberreport.h"
#include "control/quotaservice.h"
#include "core/membership/balancermonitor.h"
#include "core/membership/isolation.h"
#include "peer/peerlinks.h"
#include "settings/daemonsettings.h"

namespace wigeonlb::daemon::control {

//! The control thread. Runs this host's agent, its control member if it has
//! one, the control leader's decisions while this host leads, operators'
//! changes and the links to other hosts.
class ControlRuntime : public PeerPort
{
public:
  ControlRuntime(const settings::DaemonSettings& aSettings,
                 std::uint64_t aBoot,
                 const target::Protocol& aTargets,
                 PromotionPort aPromote,
                 traffic::TrafficRuntime& aTraffic,
                 recording::TraceRecorder* aTrace);
  ~ControlRuntime() override;

  //! Opens the data folder and the peer links, and starts the thread.
  std::error_code Start(foundation::Findings& aFindings);
  //! Stops the links and the thread. Messages that are queued are sent first,
  //! for a limited time.
  void Stop();

  //! Adds or updates the addresses of the control seeds after a reload of the
  //! settings. Callable from any thread.
  void PostSeeds(std::vector<settings::ControlMember> aSeeds);

  //! Sends a forward message to another host. Callable from any thread.
  std::error_code SendForward(const foundation::HostId& aHost,
                              wire::PeerMessage aMessage);
  //! Pass updates of the traffic threads to the host agent. Callable from any
  //! thread.
  void PostReports(std::vector<wire::TargetReport> aReports);
  void PostConnections(const foundation::GroupName& aGroup,
                       std::uint32_t aConnections);
  void PostReleased(const foundation::GroupName& aGroup,
                    foundation::TermEpoch aTerm);
  //! Tells the other hosts that this one is to stop.
  void PostDraining();
  //! True once this host is known to be stopping and its control member, if
  //! any, may end: its vote is handed over, or nobody is ready to take it.
  //! Callable from any thread.
  bool MayEnd() const { return mayEnd_; }
  //! Releases every grant; no request may be in flight any more. aDone is
  //! called on the control thread when the release is queued to be sent.
  void PostReleaseAll(std::function<void()> aDone);

  //! Sends an owner's request for tokens to the control leader. Callable from
  //! any thread.
  void PostTokenRequest(wire::QuotaRequest aRequest);

  //! Takes a target's announcement. aDone is called once it may be
  //! acknowledged, or may not in time. On the control thread only.
  void OnAnnouncement(wire::Announcement aAnnouncement, AnnouncementDone aDone);

  boost::asio::io_context& Context() { return context_; }
  //! Identifies this start of the host.
  std::uint64_t Boot() const { return boot_; }
  const foundation::HostId& HostName() const { return settings_.hostId_; }

  //! Submits an operator's change. An accepted change is answered once it is in
  //! force on this host, so that the next `show` includes it. Control thread
  //! only.
  void SubmitChange(wire::ConfigurationChange aChange, ChangeDone aDone);

  //! Receives operators' questions and answers from other hosts on the control
  //! thread. Set before Start.
  using OperatorMessageHandler = std::function<void(const wire::PeerMessage&)>;
  void SetOperatorMessageHandler(OperatorMessageHandler aHandler);
  void SendControl(const foundation::HostId& aHost,
                   wire::PeerMessage aMessage) override;
  //! Whether the link to another host is lost. Callable from any thread.
  bool IsLost(const foundation::HostId& aHost) const;

  //! False while this host is, or may be, isolated in a part of the system that
  //! can't serve. Without a balancer, a host that has found no leader
  //! since its start accepts callers and serves what it can. Control thread
  //! only.
  bool MayAcceptCallers() const;

  //! Records the answer to a balancer's health check. Callable from any thread.
  void NoteProbe(bool aServing);

  //! Whether the balancer has removed this host, which has not been ready since
  //! aSince, from its rotation. Callable from any thread.
  bool IsOutOfRotation(foundation::Instant aSince) const;

  // The following are for the control thread only.
  HostAgent& Agent() { return *agent_; }
  ChangeSubmitter& Submitter() { return *submitter_; }
  const ConsensusMember* Member() const { return member_.get(); }
  const LeaderDriver* Leader() const { return leader_.get(); }
  peer::PeerLinks& Links() { return *links_; }
  //! Why this host's member did not start; empty if it did, or if this host is
  //! not a control member.
  const std::string& MemberFailure() const { return memberFailure_; }

private:
  std::error_code StartMember(foundation::Findings& aFindings);
  //! Logs how far the stored log reaches, its members, and which of them the
  //! settings don't name.
  void LogMemberStarted() const;
  void OnPeerMessage(wire::PeerMessage aMessage);
  void OnControlMessage(wire::PeerMessage& aMessage);
  void PostLeaderHint(const foundation::HostId& aLeader);
  //! Thread function: handles events, and ticks when something is due.
  void Run();
  foundation::Instant NextDue() const;
  void OnTick();
  void AnswerAnnouncements();
  void AnswerChangesInForce();
  void CheckMayEnd();
  void SetPeers();
  //! Merges the addresses of all sources into memberAddresses_ and opens links
  //! to these hosts.
  void SetMemberAddresses();
  std::size_t GetWantedVoterCount() const;
  //! Sends requests to the new control members from now on. Control members
  //! keep their links to them open.
  void ApplyMembers(const wire::MemberChange& aMembers);
  //! Opens links to the members that this member's own log names, and asks
  //! them. A restart of all hosts ends with a leader only if members find each
  //! other without one, and the settings may name hosts that are gone. Checked
  //! with each report, as the log may have changed.
  void UseStoredMembers();
  //! Logs changes in the standing of the control members, and the lack of a
  //! leader.
  void ReportMembers();
  //! Checks whether this host is isolated, and disconnects its callers if so.
  void CheckIsolation();
  //! Makes the sender of a heartbeat a known peer, so that it can be answered,
  //! and a host that may be asked for members.
  void EnsurePeer(const wire::HostInfo& aHost);
  bool IsMember() const { return member_ != nullptr; }
  //! Warns once if links to aHosts hosts need more open files than are allowed.
  void CheckFileLimit(std::size_t aHosts);

  settings::DaemonSettings settings_;
  std::uint64_t boot_;
  const target::Protocol& targets_;
  PromotionPort promote_;
  //! Peer addresses by source. For a host in several, the first source counts:
  //! what operators have set is newer than what the log was told.
  std::map<foundation::HostId, std::string> seedAddresses_; //!< of the settings
  std::map<foundation::HostId, std::string> toldAddresses_; //!< newest list
  std::map<foundation::HostId, std::string> storedAddresses_; //!< own log
  //! Of former settings, until a list of members has come.
  std::map<foundation::HostId, std::string> formerSeedAddresses_;
  std::map<foundation::HostId, std::string> memberAddresses_; //!< of them all
  std::vector<wire::HostInfo> hosts_;
  //! Peer addresses of hosts that sent a heartbeat and are not in hosts_ yet.
  std::map<foundation::HostId, std::string> unlistedHosts_;
  traffic::TrafficRuntime& traffic_;
  recording::TraceRecorder* trace_;
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_;
  storage::DataFolder folder_;
  std::unique_ptr<peer::PeerLinks> links_;
  std::unique_ptr<ConsensusMember> member_;
  std::unique_ptr<LeaderDriver> leader_;
  std::unique_ptr<QuotaService> quota_; //!< null on a host without a member
  //! Receives requests for tokens: the leader that was heard of last.
  foundation::HostId quotaLeader_;
  std::unique_ptr<ChangeSubmitter> submitter_;
  std::unique_ptr<HostAgent> agent_;
  OperatorMessageHandler onOperatorMessage_;
  std::string memberFailure_;
  bool fileLimitTooLow_ = false; //!< the limit of open files is too low
  LostPeers lostPeers_;
  MemberReport memberReport_;
  core::membership::Isolation isolation_;
  mutable std::mutex balancerMutex_;
  core::membership::BalancerMonitor balancer_;
  //! A decided change that is not in force on this host yet.
  struct DecidedChange
  {
    ChangeAnswer answer_;
    ChangeDone done_;
    foundation::Instant answerAt_; //!< answered then even if not in force
  };
  std::vector<DecidedChange> decidedChanges_;
  std::vector<WaitingAnnouncement> announcements_;
  bool draining_ = false;
  std::atomic<bool> mayEnd_ = false;
  foundation::Instant lastTick_;
  foundation::Instant nextReports_;
  std::thread thread_;
};

} // namespace wigeonlb::daemon::control
