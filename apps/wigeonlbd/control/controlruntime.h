#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "control/changesubmitter.h"
#include "control/hostagent.h"
#include "control/leaderdriver.h"
#include "control/lostpeers.h"
#include "core/membership/balancermonitor.h"
#include "core/membership/isolation.h"
#include "peer/peerlinks.h"
#include "settings/daemonsettings.h"

namespace wigeonlb::daemon::control {

//! The control thread: this host's agent, its control member if it is one, the
//! leader's decisions, operators' changes and the links to other hosts.
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
  void Stop();

  //! Later settings name these hosts as control seeds. From any thread.
  void PostSeeds(std::vector<settings::ControlMember> aSeeds);

  //! Sends a forward message to another host. From any thread.
  std::error_code SendForward(const foundation::HostId& aHost,
                              wire::PeerMessage aMessage);
  //! News of the traffic threads. From any thread.
  void PostReports(std::vector<wire::TargetReport> aReports);
  void PostConnections(const foundation::GroupName& aGroup,
                       std::uint32_t aConnections);
  void PostReleased(const foundation::GroupName& aGroup, std::uint64_t aTerm);
  void PostDraining();
  //! Nothing is in flight any more: every grant is released.
  void PostReleaseAll();

  boost::asio::io_context& Context() { return context_; }
  const foundation::HostId& HostName() const { return settings_.hostId_; }

  //! Submits an operator's change. An accepted one is answered once it is in
  //! force on this host, so that the next `show` has it. Control thread only.
  void SubmitChange(wire::ConfigurationChange aChange, ChangeDone aDone);

  //! Where operators' questions and answers of other hosts go, on the control
  //! thread. Set before Start.
  using OperatorMessage = std::function<void(const wire::PeerMessage&)>;
  void SetOperatorMessages(OperatorMessage aHandler);
  void SendControl(const foundation::HostId& aHost,
                   wire::PeerMessage aMessage) override;
  //! Whether another host was found not to answer. From any thread.
  bool IsLost(const foundation::HostId& aHost) const;

  // For the control thread only.
  //! This host is cut off with a part of the system that can't serve.
  //! False while the host is cut off or may be. Without a balancer a host that
  //! finds no leader serves what it can.
  bool MayAcceptCallers() const;

  //! Takes the answer to a probe of the balancer. Callable from any thread.
  void NoteProbe(bool aServing);

  //! Whether the balancer sends no new callers to this host, which isn't ready
  //! since aSince. Callable from any thread.
  bool BalancerHasNoticed(foundation::Instant aSince) const;
  HostAgent& Agent() { return *agent_; }
  ChangeSubmitter& Submitter() { return *submitter_; }
  const ConsensusMember* Member() const { return member_.get(); }
  const LeaderDriver* Leader() const { return leader_.get(); }
  peer::PeerLinks& Links() { return *links_; }
  //! Why this host's member takes no part; empty when it does, or is none.
  const std::string& MemberFailure() const { return memberFailure_; }

private:
  std::error_code StartMember(foundation::Findings& aFindings);
  void OnPeerMessage(wire::PeerMessage aMessage);
  void OnControlMessage(wire::PeerMessage& aMessage);
  //! The thread: handles events, and ticks when something is due.
  void Run();
  foundation::Instant NextDue() const;
  void OnTick();
  void AnswerChangesInForce();
  void SetPeers();
  std::size_t GetWantedVoterCount() const;
  //! Other control members are in force: they are asked, and links to them stay
  //! open from a control member.
  void ApplyMembers(const wire::MemberChange& aMembers);
  //! Finds out whether this host is cut off, and sends its callers away then.
  void CheckIsolation();
  //! Knows the sender of a heartbeat, so that it can be answered.
  void EnsurePeer(const wire::HostInfo& aHost);
  bool IsMember() const { return member_ != nullptr; }
  //! Warns once when links to so many hosts need more files than are allowed.
  void CheckFileLimit(std::size_t aHosts);

  settings::DaemonSettings settings_;
  std::uint64_t boot_;
  const target::Protocol& targets_;
  PromotionPort promote_;
  std::map<foundation::HostId, std::string> memberAddresses_;
  std::vector<wire::HostInfo> hosts_;
  //! Hosts that were heard and are not in the list of live ones yet.
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
  std::unique_ptr<ChangeSubmitter> submitter_;
  std::unique_ptr<HostAgent> agent_;
  OperatorMessage onOperatorMessage_;
  std::string memberFailure_;
  bool fileLimitTooLow_ = false; //!< the limit of open files is too low
  LostPeers lostPeers_;
  core::membership::Isolation isolation_;
  mutable std::mutex balancerMutex_;
  core::membership::BalancerMonitor balancer_;
  //! A decided change that this host has not in force yet.
  struct DecidedChange
  {
    ChangeAnswer answer_;
    ChangeDone done_;
    foundation::Instant answerAt_; //!< at the latest
  };
  std::vector<DecidedChange> decidedChanges_;
  foundation::Instant lastTick_;
  foundation::Instant nextReports_;
  std::thread thread_;
};

} // namespace wigeonlb::daemon::control
