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
#include "traffic/sessionends.h"

namespace wigeonlb::daemon::traffic {

//! What an owner group tells the control side, on its traffic thread.
class OwnerGroupListener
{
public:
  virtual ~OwnerGroupListener() = default;

  //! Nothing is in flight under the term any more.
  virtual void OnTermReleased(const foundation::GroupName& aGroup,
                              std::uint64_t aTerm) = 0;
  //! A target was found unreachable, or reachable again.
  virtual void OnReachabilityChanged(const foundation::GroupName& aGroup) = 0;
};

//! Settings of one owner group.
struct OwnerGroupSettings
{
  foundation::GroupName group_;
  target::Login login_;
  OwnerProtocols protocols_;
  core::traffic::Settings traffic_;
  recording::TraceRecorder* trace_ = nullptr; //!< none: nothing is recorded
  RequestLog* log_ = nullptr;                 //!< none: nothing is logged
};

//! Drives the traffic state machine of one group: turns forward messages and
//! answers of targets into its events, and its actions into statements on
//! connections and forward messages. Used on one traffic thread.
class OwnerGroup : public GroupConnectionUser
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
               std::uint64_t aSession);
  //! Closes the sessions of an entry host that was lost, or, with a boot, those
  //! of its earlier boots.
  void OnHostLost(const foundation::HostId& aHost, std::uint64_t aKeepBoot);

  std::vector<wire::TargetReport> Reports() const;
  const core::traffic::TrafficState& State() const { return state_; }
  bool InTransaction(const SessionKey& aKey) const
  {
    return sessions_.InTransaction(aKey);
  }
  //! Requests that run and transactions that are open.
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
  //! Logs an outcome that this owner decided.
  void Log(const OwnedSession& aSession, const core::traffic::Finish& aFinish);
  void Execute(const core::traffic::CancelOnTarget& aAction);
  void Execute(const core::traffic::TermReleased& aAction);

  GroupConnection* FindConnection(core::traffic::ConnectionId aId);
  ConnectionPointer MakeConnection(core::traffic::ConnectionId aId,
                                   const foundation::TargetName& aTarget);
  void Retire(ConnectionPointer aConnection);
  void SendFrames(OwnedSession& aSession, std::string aFrames);
  //! The request with its key, if it has one.
  std::optional<KeyedRequest> KeyedRequestOf(
    const wire::ForwardRequest& aRequest,
    const foundation::TargetName& aTarget) const;
  const target::Dialect& DialectOf(const foundation::TargetName& aTarget) const;
  target::TargetAddress AddressOf(const foundation::TargetName& aTarget,
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
  RequestKeyExpiry expiry_;
  std::map<core::traffic::ConnectionId, ConnectionPointer> connections_;
  //! Connections whose status statement asks for a commit's position.
  std::set<core::traffic::ConnectionId> readingPositions_;
  //! Probe connections by target, and the sequences they owe an answer for.
  struct Probe
  {
    ConnectionPointer connection_;
    std::uint64_t sequence_ = 0;
    bool reachable_ = true;
    ProbeEnds ends_;
  };
  void AnswerProbe(GroupConnection& aConnection,
                   std::optional<wire::TargetReport> aReport);
  std::map<foundation::TargetName, Probe> probes_;
};

} // namespace wigeonlb::daemon::traffic
