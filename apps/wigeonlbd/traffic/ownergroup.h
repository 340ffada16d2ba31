#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/traffic/trafficstate.h"
#include "recording/ownertrace.h"
#include "traffic/forwardport.h"
#include "traffic/groupconnection.h"
#include "traffic/ownedsessions.h"
#include "traffic/requestkeyexpiry.h"
#include "traffic/requestlog.h"
#include "traffic/sessionterminations.h"

namespace wigeonlb::daemon::traffic {

//! Receives notifications of owner groups for the control side, on the group's
//! traffic thread.
class OwnerGroupListener
{
public:
  virtual ~OwnerGroupListener() = default;

  //! No request is in flight under the term any more.
  virtual void OnTermReleased(const foundation::GroupName& aGroup,
                              foundation::TermEpoch aTerm) = 0;
  //! Called before the callers get the answers that it includes.
  virtual void OnWritesAcknowledged(
    const wire::AcknowledgedWrites& aWrites) = 0;
  //! A target has become unreachable or reachable again.
  virtual void OnReachabilityChanged(const foundation::GroupName& aGroup) = 0;
};

//! Settings of one owner group.
struct OwnerGroupSettings
{
  foundation::GroupName group_;
  target::Login login_;
  OwnerProtocols protocols_;
  core::traffic::Settings traffic_;
  recording::TraceRecorder* trace_ = nullptr; //!< null: no trace is recorded
  RequestLog* log_ = nullptr;                 //!< null: requests are not logged
};

//! Drives the traffic state machine of one group. Converts forward messages and
//! answers of targets to its events, and its actions to statements on
//! connections and forward messages. Used on one traffic thread only.
class OwnerGroup : public GroupConnectionObserver
{
public:
  OwnerGroup(boost::asio::io_context& aContext,
             OwnerGroupSettings aSettings,
             ForwardPort& aPort,
             OwnerGroupListener& aListener);
  ~OwnerGroup() override = default;

  void OnGroupChanged(core::traffic::GroupChanged aEvent);
  void OnGrantChanged(core::traffic::GrantChanged aEvent);
  void OnStopNewWrites(core::traffic::StopNewWrites aEvent);

  void OnRequest(const foundation::HostId& aFrom,
                 std::uint64_t aBoot,
                 wire::ForwardRequest aRequest);
  void OnCredit(const foundation::HostId& aFrom,
                std::uint64_t aBoot,
                const wire::ForwardCredit& aCredit);
  void OnCancel(const foundation::HostId& aFrom,
                std::uint64_t aBoot,
                const wire::ForwardCancel& aCancel);
  void OnClose(const foundation::HostId& aFrom,
               std::uint64_t aBoot,
               const wire::ForwardClose& aClose);
  //! Whether the request has arrived. One that has not is closed.
  bool OnCheck(const foundation::HostId& aFrom,
               std::uint64_t aBoot,
               const wire::ForwardCheck& aCheck);
  //! Closes the sessions of an entry host, except those of its boot aKeepBoot.
  //! With 0 the host was lost, and may only be silent: its running requests go
  //! on and are answered, and its idle transactions are rolled back if it stays
  //! silent.
  void OnHostLost(const foundation::HostId& aHost, std::uint64_t aKeepBoot);
  void OnHostReachable(const foundation::HostId& aHost);

  std::vector<wire::TargetReport> Reports() const;
  const core::traffic::TrafficState& State() const { return state_; }
  bool ContinuesTransaction(const SessionKey& aKey,
                            const wire::ForwardRequest& aRequest) const
  {
    return sessions_.ContinuesTransaction(aKey, aRequest);
  }
  //! Number of sessions with a running request or an open transaction.
  std::size_t RunningCount() const { return sessions_.RunningCount(); }

private:
  using ConnectionPointer = std::unique_ptr<GroupConnection>;

  void OnConnectionOpened(GroupConnection& aConnection) override;
  void OnConnectionLost(GroupConnection& aConnection,
                        const std::string& aDetail) override;
  void OnStatusRead(GroupConnection& aConnection,
                    const wire::TargetReport& aReport) override;
  void OnFrames(GroupConnection& aConnection, std::string aFrames) override;
  void OnStatementEnd(GroupConnection& aConnection,
                      const target::SqlError& aError,
                      char aTransactionStatus,
                      const std::optional<foundation::LogPosition>& aPosition,
                      std::string aHeldEnd) override;

  void CloseSession(OwnedSession& aSession, std::uint64_t aRequest);
  void SetSilentTimer();
  void EndTransactionsOfSilentHosts();
  //! Returns false if the host has nothing left here.
  bool EndTransactionsOf(const foundation::HostId& aHost);
  void Feed(core::traffic::TrafficEvent aEvent);
  void SetTimer();
  void Execute(const core::traffic::OpenConnection& aAction);
  void Execute(const core::traffic::CloseConnection& aAction);
  void Execute(const core::traffic::SendStatement& aAction);
  void Execute(const core::traffic::AcceptAnswer& aAction);
  void Execute(const core::traffic::DropAnswer& aAction);
  void Execute(const core::traffic::ReadCommitPosition& aAction);
  void Execute(const core::traffic::SendProbe& aAction);
  void Execute(const core::traffic::ResetProbe& aAction);
  void Execute(const core::traffic::Finish& aAction);
  //! Logs that the current request has arrived with another transaction than
  //! the one here: the entry host and this owner disagree about the session.
  void LogIfTransactionDiffers(const OwnedSession& aSession);
  //! Logs an error that this owner, rather than the target, decided on.
  void Log(const OwnedSession& aSession, const core::traffic::Finish& aFinish);
  void Execute(const core::traffic::CancelOnTarget& aAction);
  void Execute(const core::traffic::TermReleased& aAction);
  void Execute(const core::traffic::WritesAcknowledged& aAction);

  GroupConnection* FindConnection(core::traffic::ConnectionId aId);
  ConnectionPointer MakeConnection(core::traffic::ConnectionId aId,
                                   const foundation::TargetName& aTarget);
  void DestroyLater(ConnectionPointer aConnection);
  void SendFrames(OwnedSession& aSession, std::string aFrames);
  //! Builds the keyed request; empty if the request has no key.
  std::optional<KeyedRequest> BuildKeyedRequest(
    const wire::ForwardRequest& aRequest,
    const foundation::TargetName& aTarget) const;
  const target::Dialect& GetDialect(
    const foundation::TargetName& aTarget) const;
  target::TargetAddress BuildAddress(const foundation::TargetName& aTarget,
                                     const std::string& aAddress) const;

  boost::asio::io_context& context_;
  OwnerGroupSettings settings_;
  ForwardPort& port_;
  OwnerGroupListener& listener_;
  core::traffic::TrafficState state_;
  recording::OwnerTrace trace_;
  boost::asio::steady_timer timer_;
  foundation::Instant timerDue_ = foundation::Instant::max();
  std::deque<core::traffic::TrafficEvent> events_;
  bool stepping_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  wire::GroupState group_;
  OwnedSessions sessions_;
  //! Entry hosts that were lost, with the time at which their idle transactions
  //! are rolled back.
  std::map<foundation::HostId, foundation::Instant> silent_;
  boost::asio::steady_timer silentTimer_;
  bool silentTimerSet_ = false;
  RequestKeyExpiry expiry_;
  std::map<core::traffic::ConnectionId, ConnectionPointer> connections_;
  //! Connections that query the target's position after a commit.
  std::set<core::traffic::ConnectionId> readingPositions_;
  //! The probe connection of a target and its outstanding probe.
  struct Probe
  {
    ConnectionPointer connection_;
    std::uint64_t sequence_ = 0;
    bool reachable_ = true;
    ProbeTerminations terminations_;
  };
  void AnswerProbe(GroupConnection& aConnection,
                   std::optional<wire::TargetReport> aReport);
  std::map<foundation::TargetName, Probe> probes_;
};

} // namespace wigeonlb::daemon::traffic
