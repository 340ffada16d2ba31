#include "traffic/ownergroup.h"

#include <boost/asio/post.hpp>

#include "core/configuration/applyrecord.h"
#include "core/configuration/groupoptions.h"

namespace wigeonlb::daemon::traffic {

namespace {

namespace core_traffic = core::traffic;
using foundation::SteadyNow;

constexpr foundation::Duration kOpenTimeoutMs = std::chrono::milliseconds(2000);

//! Maximum number of answer bytes sent but not yet credited by the entry host;
//! beyond it the target's connection is not read.
constexpr std::uint64_t kCreditWindowBytes = std::uint64_t{ 1 } << 20U;

core_traffic::Refusal
ToRefusal(target::Refusal aRefusal)
{
  switch (aRefusal) {
    case target::Refusal::Busy:
      return core_traffic::Refusal::Busy;
    case target::Refusal::ReadOnly:
      return core_traffic::Refusal::ReadOnly;
    case target::Refusal::Behind:
      return core_traffic::Refusal::Behind;
    case target::Refusal::None:
      break;
  }
  return core_traffic::Refusal::None;
}

} // namespace

OwnerGroup::OwnerGroup(boost::asio::io_context& aContext,
                       OwnerGroupSettings aSettings,
                       ForwardPort& aPort,
                       OwnerGroupListener& aListener)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , port_(aPort)
  , listener_(aListener)
  , state_(settings_.traffic_)
  , trace_(settings_.trace_, settings_.group_)
  , timer_(aContext)
  , silentTimer_(aContext)
  , expiry_(aContext, [this](wire::ForwardRequest aRequest) {
    OnRequest("", 0, std::move(aRequest));
  })
{
}

void
OwnerGroup::OnGroupChanged(core_traffic::GroupChanged aEvent)
{
  group_ = aEvent.group_;
  expiry_.OnGroupChanged(group_,
                         GetDialect(group_.primary()).epochSecondsExpression_);
  Feed(std::move(aEvent));
}

void
OwnerGroup::OnGrantChanged(core_traffic::GrantChanged aEvent)
{
  Feed(std::move(aEvent));
}

void
OwnerGroup::OnStopNewWrites(core_traffic::StopNewWrites aEvent)
{
  Feed(aEvent);
}

void
OwnerGroup::OnRequest(const foundation::HostId& aFrom,
                      std::uint64_t aBoot,
                      wire::ForwardRequest aRequest)
{
  OwnedSession& session =
    sessions_.GetOrCreate(SessionKey(aFrom, aBoot, aRequest.session()));
  if (!BeginRequest(session, std::move(aRequest))) {
    return; // late or duplicate
  }
  sessions_.OnUsed(session, SteadyNow());
  session.openTransaction_ =
    core_traffic::FindTransaction(state_, session.id_, SteadyNow());
  LogIfTransactionDiffers(session);
  Feed(MakeArrival(session, SteadyNow()));
}

void
OwnerGroup::OnCredit(const foundation::HostId& aFrom,
                     std::uint64_t aBoot,
                     const wire::ForwardCredit& aCredit)
{
  OwnedSession* const found =
    sessions_.Find(SessionKey(aFrom, aBoot, aCredit.session()));
  if (found == nullptr || found->request_.request() != aCredit.request()) {
    return;
  }
  OwnedSession& session = *found;
  session.consumedBytes_ = aCredit.consumed();
  GroupConnection* const connection = FindConnection(session.pausedConnection_);
  if (connection != nullptr &&
      session.passedBytes_ - session.consumedBytes_ < kCreditWindowBytes / 2) {
    session.pausedConnection_ = 0;
    connection->Resume();
  }
}

void
OwnerGroup::OnCancel(const foundation::HostId& aFrom,
                     std::uint64_t aBoot,
                     const wire::ForwardCancel& aCancel)
{
  const OwnedSession* const session =
    sessions_.Find(SessionKey(aFrom, aBoot, aCancel.session()));
  if (session != nullptr && session->running_ &&
      session->request_.request() == aCancel.request()) {
    Feed(core_traffic::CancelRequested{ session->id_ });
  }
}

void
OwnerGroup::OnClose(const foundation::HostId& aFrom,
                    std::uint64_t aBoot,
                    const wire::ForwardClose& aClose)
{
  // Created if there is none, so that a request that is on its way is known to
  // be late.
  OwnedSession& session =
    sessions_.GetOrCreate(SessionKey(aFrom, aBoot, aClose.session()));
  CloseSession(session, aClose.request());
}

bool
OwnerGroup::OnCheck(const foundation::HostId& aFrom,
                    std::uint64_t aBoot,
                    const wire::ForwardCheck& aCheck)
{
  OwnedSession& session =
    sessions_.GetOrCreate(SessionKey(aFrom, aBoot, aCheck.session()));
  const bool known = session.request_.request() >= aCheck.request();
  if (!known) {
    CloseSession(session, aCheck.request());
  }
  return known;
}

//! NOTE Ends of other requests that follow may erase idle sessions, so the
//! session must not be used after Feed.
void
OwnerGroup::CloseSession(OwnedSession& aSession, std::uint64_t aRequest)
{
  const core_traffic::SessionId id = aSession.id_;
  if (sessions_.Close(aSession, aRequest, SteadyNow())) {
    Feed(core_traffic::SessionClosed{ id });
  }
}

std::vector<wire::TargetReport>
OwnerGroup::Reports() const
{
  std::vector<wire::TargetReport> reports =
    core_traffic::CollectReports(state_, SteadyNow());
  for (wire::TargetReport& report : reports) {
    report.set_group(settings_.group_);
  }
  return reports;
}

void
OwnerGroup::OnConnectionOpened(GroupConnection& aConnection)
{
  if (aConnection.Id() == 0) {
    const auto probe = probes_.find(aConnection.Target());
    if (probe != probes_.end()) {
      // On failure OnConnectionLost answers the probe.
      aConnection.ReadStatus(probe->second.terminations_.statements_);
    }
    return;
  }
  Feed(core_traffic::ConnectionOpened{ aConnection.Id(),
                                       aConnection.GetBackendId() });
}

void
OwnerGroup::OnConnectionLost(GroupConnection& aConnection,
                             const std::string& /*aDetail*/)
{
  if (aConnection.Id() == 0) {
    AnswerProbe(aConnection, std::nullopt);
    return;
  }
  const auto found = connections_.find(aConnection.Id());
  if (found == connections_.end()) {
    return;
  }
  const core_traffic::ConnectionId id = aConnection.Id();
  const bool opened = aConnection.WasOpened();
  const bool passedRows = aConnection.PassedRows();
  DestroyLater(std::move(found->second));
  connections_.erase(found);
  if (opened) {
    Feed(core_traffic::ConnectionClosed{ id, passedRows });
  } else {
    Feed(core_traffic::ConnectionFailed{ id });
  }
}

void
OwnerGroup::OnStatusRead(GroupConnection& aConnection,
                         const wire::TargetReport& aReport)
{
  wire::TargetReport report = aReport;
  report.set_group(settings_.group_);
  if (aConnection.Id() == 0) {
    AnswerProbe(aConnection, std::move(report));
    return;
  }
  const auto reading = readingPositions_.find(aConnection.Id());
  if (reading != readingPositions_.end()) {
    readingPositions_.erase(reading);
    Feed(core_traffic::CommitPositionRead{
      aConnection.Id(),
      { report.adopted_term(), report.synced_offset() },
      report.incarnation() });
    return;
  }
  Feed(core_traffic::ReadProbeAnswered{ aConnection.Id(), std::move(report) });
}

void
OwnerGroup::OnFrames(GroupConnection& aConnection, std::string aFrames)
{
  OwnedSession* const session = sessions_.FindRunning(aConnection.Request());
  if (session == nullptr) {
    return;
  }
  SendFrames(*session, std::move(aFrames));
  if (session->passedBytes_ - session->consumedBytes_ > kCreditWindowBytes) {
    session->pausedConnection_ = aConnection.Id();
    aConnection.Pause();
  }
}

void
OwnerGroup::OnStatementEnd(
  GroupConnection& aConnection,
  const target::SqlError& aError,
  char aTransactionStatus,
  const std::optional<foundation::LogPosition>& aPosition,
  std::string aHeldEnd)
{
  OwnedSession* const session = sessions_.FindRunning(aConnection.Request());
  if (session != nullptr) {
    session->heldEnd_ = std::move(aHeldEnd);
  }
  Feed(core_traffic::StatementFinished{ aConnection.Id(),
                                        aError.sqlstate_,
                                        aError.message_,
                                        aTransactionStatus,
                                        aConnection.PassedRows(),
                                        aConnection.HasWritten(),
                                        aConnection.AlreadyDone(),
                                        aPosition,
                                        ToRefusal(aError.refusal_) });
}

void
OwnerGroup::Feed(core_traffic::TrafficEvent aEvent)
{
  events_.push_back(std::move(aEvent));
  if (stepping_) {
    return;
  }
  stepping_ = true;
  std::vector<core_traffic::TrafficAction> actions;
  while (!events_.empty()) {
    const core_traffic::TrafficEvent event = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    const foundation::Instant now = SteadyNow();
    core_traffic::Step(state_, event, now, actions);
    trace_.RecordStep(event, actions, now);
    for (const core_traffic::TrafficAction& action : actions) {
      std::visit([this](const auto& aAction) { Execute(aAction); }, action);
    }
  }
  stepping_ = false;
  SetTimer();
}

void
OwnerGroup::SetTimer()
{
  const foundation::Instant due = core_traffic::NextWake(state_);
  if (due == timerDue_) {
    return;
  }
  timerDue_ = due;
  if (due == foundation::Instant::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(
    std::max(due - SteadyNow(), foundation::Duration::zero()));
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                      const boost::system::error_code& aError) {
    if (aError || alive.expired()) {
      return;
    }
    timerDue_ = foundation::Instant::max();
    Feed(core_traffic::Tick{});
  });
}

void
OwnerGroup::Execute(const core_traffic::OpenConnection& aAction)
{
  ConnectionPointer connection =
    MakeConnection(aAction.connection_, aAction.target_);
  target::TargetAddress address =
    BuildAddress(aAction.target_, aAction.address_);
  address.organisation_ = aAction.organisation_;
  connection->Open(address, kOpenTimeoutMs);
  connections_.emplace(aAction.connection_, std::move(connection));
}

void
OwnerGroup::Execute(const core_traffic::CloseConnection& aAction)
{
  readingPositions_.erase(aAction.connection_);
  const auto found = connections_.find(aAction.connection_);
  if (found == connections_.end()) {
    return;
  }
  found->second->Close();
  DestroyLater(std::move(found->second));
  connections_.erase(found);
}

void
OwnerGroup::Execute(const core_traffic::SendStatement& aAction)
{
  GroupConnection* const connection = FindConnection(aAction.connection_);
  OwnedSession* const session = sessions_.FindRunning(aAction.request_);
  if (connection == nullptr || session == nullptr) {
    return; // lost or closed; the event for that is queued
  }
  session->heldEnd_.clear();
  connection->Run(aAction.request_,
                  session->request_,
                  { aAction.withProbe_,
                    aAction.readOnly_,
                    aAction.checkHasWritten_,
                    BuildKeyedRequest(session->request_, connection->Target()),
                    aAction.floor_ });
}

std::optional<KeyedRequest>
OwnerGroup::BuildKeyedRequest(const wire::ForwardRequest& aRequest,
                              const foundation::TargetName& aTarget) const
{
  if (aRequest.request_key().empty()) {
    return std::nullopt;
  }
  return MakeKeyedRequest(core::configuration::RequestKeyTable(group_),
                          aRequest.request_key(),
                          aRequest.statement(),
                          aRequest.statement_class() == wire::STATEMENT_BEGIN,
                          GetDialect(aTarget).epochSecondsExpression_);
}

void
OwnerGroup::Execute(const core_traffic::AcceptAnswer& aAction)
{
  GroupConnection* const connection = FindConnection(aAction.connection_);
  if (connection != nullptr) {
    connection->Accept();
  }
}

void
OwnerGroup::Execute(const core_traffic::DropAnswer& aAction)
{
  GroupConnection* const connection = FindConnection(aAction.connection_);
  if (connection != nullptr) {
    connection->Drop();
  }
}

void
OwnerGroup::Execute(const core_traffic::ReadCommitPosition& aAction)
{
  GroupConnection* const connection = FindConnection(aAction.connection_);
  if (connection == nullptr) {
    return;
  }
  readingPositions_.insert(aAction.connection_);
  connection->ReadStatus();
}

void
OwnerGroup::Execute(const core_traffic::SendProbe& aAction)
{
  Probe& probe = probes_[aAction.target_];
  probe.sequence_ = aAction.sequence_;
  probe.terminations_.statements_ =
    BuildTerminationStatements(GetDialect(aAction.target_),
                               aAction.terminations_,
                               settings_.login_.applicationName_);
  if (probe.connection_ != nullptr && probe.connection_->IsOpen()) {
    probe.connection_->ReadStatus(probe.terminations_.statements_);
    return;
  }
  if (probe.connection_ != nullptr) {
    DestroyLater(std::move(probe.connection_));
  }
  probe.connection_ = MakeConnection(0, aAction.target_);
  probe.connection_->Open(BuildAddress(aAction.target_, aAction.address_),
                          kOpenTimeoutMs);
}

void
OwnerGroup::Execute(const core_traffic::ResetProbe& aAction)
{
  const auto found = probes_.find(aAction.target_);
  if (found == probes_.end() || found->second.connection_ == nullptr) {
    return;
  }
  found->second.connection_->Close();
  DestroyLater(std::move(found->second.connection_));
}

void
OwnerGroup::Execute(const core_traffic::Finish& aAction)
{
  OwnedSession* const session = sessions_.FindRunning(aAction.request_);
  if (session == nullptr) {
    return;
  }
  EndRequest(*session, aAction.transactionStatus_);
  Log(*session, aAction);
  wire::PeerMessage message;
  *message.mutable_forward_end() = MakeEnd(*session, aAction);
  // If the host is unreachable, the answer waits in its link.
  (void)port_.SendForward(std::get<0>(session->key_), std::move(message));
  session->request_.clear_statement();
  sessions_.OnUsed(*session, SteadyNow());
}

void
OwnerGroup::Execute(const core_traffic::CancelOnTarget& aAction)
{
  GroupConnection* const connection = FindConnection(aAction.connection_);
  if (connection != nullptr) {
    connection->Cancel();
  }
}

void
OwnerGroup::Execute(const core_traffic::TermReleased& aAction)
{
  listener_.OnTermReleased(settings_.group_, aAction.term_);
}

void
OwnerGroup::Execute(const core_traffic::WritesAcknowledged& aAction)
{
  listener_.OnWritesAcknowledged(aAction.writes_);
}

} // namespace wigeonlb::daemon::traffic
