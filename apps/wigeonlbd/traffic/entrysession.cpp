#include "traffic/entrysession.h"

#include <algorithm>

#include "caller/sqlstates.h"
#include "core/session/sessiontoken.h"

namespace wigeonlb::daemon::traffic {

namespace {

namespace sqlstates = caller::sqlstates;
using foundation::Duration;
using foundation::SteadyNow;

//! The owner answers at the deadline; an answer that is this much later is not
//! waited for.
constexpr Duration kAnswerMarginMs = std::chrono::milliseconds(250);

//! Longest wait for another owner before a request is given up as not run.
constexpr Duration kNoOwnerRetryMs = std::chrono::milliseconds(300);

constexpr std::string_view kServerVersion = "15.0 (wigeonlb)";

} // namespace

EntrySession::EntrySession(EntryContext& aContext,
                           caller::CallerSession& aCaller,
                           std::uint64_t aNumber)
  : context_(aContext)
  , caller_(&aCaller)
  , number_(aNumber)
  , deadlineTimer_(aCaller.Context())
{
}

EntrySession::~EntrySession() = default;

void
EntrySession::Start(const caller::StartupRequest& aRequest,
                    const caller::CancelKey& aKey)
{
  key_ = aKey;
  tenant_ = aRequest.user_;
  database_ = aRequest.database_;
  if (const DatabaseRoute* const database = FindDatabase()) {
    group_ = database->group_;
  }
  if (context_.routes_ != nullptr && !context_.routes_->hasConfiguration_) {
    caller_->Refuse({ "FATAL",
                      std::string(sqlstates::kNotRun),
                      "this host knows no configuration yet",
                      RetryText(kNoOwnerRetryMs) });
    return;
  }
  if (Route() == nullptr) {
    caller_->Refuse({ "FATAL",
                      std::string(sqlstates::kUnknownGroup),
                      "there is no database group '" + database_ + "'",
                      "",
                      "`show groups` lists the groups" });
    return;
  }
  std::string error;
  if (!ApplyStartupSettings(settings_, aRequest.settings_, error)) {
    caller_->Refuse({ "FATAL",
                      std::string(sqlstates::kInvalidParameterValue),
                      "options: " + error });
    return;
  }
  const caller::Parameter parameters[] = {
    { "server_version", std::string(kServerVersion) },
    { "server_encoding", "UTF8" },
    { "client_encoding", "UTF8" },
    { "DateStyle", "ISO, MDY" },
    { "TimeZone", "UTC" },
    { "integer_datetimes", "on" },
    { "standard_conforming_strings", "on" },
    { "wigeonlb.host", context_.host_ },
  };
  caller_->AcceptStartup(parameters, key_);
}

void
EntrySession::OnQuery(std::string_view aSql)
{
  const core::classification::Classification& verdict =
    context_.cache_->Find(aSql);
  if (verdict.refusal_) {
    const core::classification::Refusal& refusal = *verdict.refusal_;
    FailLocally({ refusal.sqlstate_,
                  refusal.message_,
                  refusal.position_ == 0
                    ? ""
                    : "at character " + std::to_string(refusal.position_) });
    return;
  }
  if (verdict.proxySetting_) {
    AnswerSetting(*verdict.proxySetting_);
    return;
  }
  if (TakeSessionStep(verdict.sessionEffect_)) {
    return;
  }
  if (verdict.statementCount_ == 0) {
    std::string frames;
    context_.protocol_->appendEmpty_(frames);
    caller_->Send(std::move(frames));
    caller_->FinishQuery(status_);
    return;
  }
  if (verdict.requiresTransaction_ && !InTransaction()) {
    FailLocally({ sqlstates::kActiveTransaction,
                  "the statement makes sense only in a transaction" });
    return;
  }
  SendRequest(verdict, aSql);
}

void
EntrySession::AnswerSetting(const core::classification::ProxySetting& aSetting)
{
  const GroupRoute* const route = Route();
  const SettingContext context{ context_.host_,
                                route != nullptr && route->requestKeys_,
                                InTransaction() };
  std::string frames;
  std::string error;
  if (!RunSetting(settings_, aSetting, context, frames, error)) {
    FailLocally({ sqlstates::kInvalidParameterValue, error });
    return;
  }
  caller_->Send(std::move(frames));
  caller_->FinishQuery(status_);
}

void
EntrySession::SendRequest(const core::classification::Classification& aClass,
                          std::string_view aSql)
{
  const GroupRoute* const route = Route();
  if (route == nullptr) {
    FailLocally({ sqlstates::kUnknownGroup,
                  "the database group '" + database_ + "' was dropped" });
    return;
  }
  if (!InTransaction()) {
    group_ = FindDatabase()->group_;
  }
  const std::uint64_t lastNumber = request_.request();
  request_.Clear();
  request_.set_session(number_);
  request_.set_request(lastNumber);
  request_.set_group(group_);
  request_.set_database(database_);
  request_.set_tenant(tenant_);
  request_.set_in_transaction(InTransaction());
  if (!AddStatement(aClass, aSql)) {
    return;
  }
  request_.set_data_centre(context_.dataCentre_);
  if (!InTransaction()) {
    GiveRequestKey(settings_, request_);
  }
  AddReadBounds(*route);
  startedAt_ = SteadyNow();
  deadlineAt_ =
    startedAt_ + settings_.deadline_.value_or(StatementTime(*route));
  waiting_ = true;
  nextOwner_ = 0;
  refusal_.clear();
  owner_.clear();
  deadlineTimer_.expires_after(deadlineAt_ - startedAt_ + kAnswerMarginMs);
  deadlineTimer_.async_wait(
    [caller = caller_, this](const boost::system::error_code& aError) {
      if (!aError && !caller->Closed()) {
        OnDeadline();
      }
    });
  HandOver();
}

bool
EntrySession::IsRead() const
{
  return request_.statement_class() == wire::STATEMENT_READ;
}

Duration
EntrySession::TimeLeft() const
{
  return std::max(deadlineAt_ - SteadyNow(), Duration::zero());
}

void
EntrySession::HandOver()
{
  if (InTransaction()) {
    if (transactionLost_ || !TryOwner(transactionOwner_)) {
      transactionLost_ = false;
      OnHostLost(transactionOwner_);
    }
    return;
  }
  const GroupRoute* const route = Route();
  while (route != nullptr && nextOwner_ < route->owners_.size()) {
    if (TryOwner(route->owners_[nextOwner_++])) {
      return;
    }
  }
  GiveUp({ sqlstates::kNotRun,
           refusal_.empty()
             ? "not run: no owner of group '" + group_ + "' can be reached"
             : refusal_,
           RetryText(kNoOwnerRetryMs) });
}

bool
EntrySession::TryOwner(const foundation::HostId& aOwner)
{
  owner_ = aOwner;
  if (std::find(usedOwners_.begin(), usedOwners_.end(), aOwner) ==
      usedOwners_.end()) {
    usedOwners_.push_back(aOwner);
  }
  // A number of its own for each attempt: late answers to an earlier one are
  // told apart.
  request_.set_request(request_.request() + 1);
  piecesSeen_ = 0;
  receivedBytes_ = 0;
  creditedBytes_ = 0;
  request_.set_deadline_us(static_cast<std::uint64_t>(TimeLeft().count()));
  wire::PeerMessage message;
  *message.mutable_forward_request() = request_;
  return !context_.port_->SendForward(aOwner, std::move(message));
}

void
EntrySession::OnFrames(wire::ForwardFrames aFrames)
{
  if (!waiting_ || aFrames.request() != request_.request() ||
      aFrames.sequence() != piecesSeen_) {
    return; // late, or a piece was lost: the end tells
  }
  ++piecesSeen_;
  receivedBytes_ += aFrames.frames().size();
  caller_->Send(std::move(*aFrames.mutable_frames()));
  GiveCredit();
}

void
EntrySession::OnDrained()
{
  if (waiting_) {
    GiveCredit();
  }
}

void
EntrySession::GiveCredit()
{
  const std::uint64_t queued = caller_->QueuedBytes();
  const std::uint64_t consumed =
    receivedBytes_ > queued ? receivedBytes_ - queued : 0;
  constexpr std::uint64_t kCreditStepBytes = 131072;
  if (consumed < creditedBytes_ + kCreditStepBytes) {
    return;
  }
  creditedBytes_ = consumed;
  wire::PeerMessage message;
  wire::ForwardCredit& credit = *message.mutable_forward_credit();
  credit.set_session(number_);
  credit.set_request(request_.request());
  credit.set_consumed(consumed);
  credit.set_group(group_);
  (void)context_.port_->SendForward(owner_, std::move(message));
}

void
EntrySession::OnEnd(wire::ForwardEnd aEnd)
{
  if (!waiting_ || aEnd.request() != request_.request()) {
    return;
  }
  if (aEnd.not_owner()) {
    refusal_ = aEnd.message();
    Log(RequestEvent::HandedOn,
        { .outcome_ = aEnd.outcome(), .reason_ = refusal_ });
    HandOver();
    return;
  }
  if (aEnd.pieces() != piecesSeen_) {
    // Part of the answer was lost on the way; the caller must not take the
    // rest for the whole.
    caller_->Refuse({ "FATAL",
                      std::string(sqlstates::kOutcomeUnknown),
                      "the answer was lost on its way between two hosts" });
    return;
  }
  if (!aEnd.last_frames().empty()) {
    caller_->Send(std::move(*aEnd.mutable_last_frames()));
  }
  if (aEnd.has_position()) {
    TakePosition(aEnd.position());
  }
  AnswerOutcome(aEnd);
}

void
EntrySession::TakePosition(const wire::LogPosition& aPosition)
{
  const bool moved = core::session::RaiseFloor(
    settings_.floors_, group_, { aPosition.term(), aPosition.offset() });
  settings_.needsFreshFloor_ = false;
  std::string token;
  if (context_.protocol_->appendParameter_ == nullptr) {
    return; // callers can't take the token along
  }
  if (!moved || core::session::EncodeToken(settings_.floors_, token)) {
    return;
  }
  std::string frames;
  context_.protocol_->appendParameter_(frames, "wigeonlb.session", token);
  caller_->Send(std::move(frames));
}

void
EntrySession::FailLocally(const Verdict& aVerdict)
{
  SendError(aVerdict);
  caller_->FinishQuery(status_);
}

void
EntrySession::OnDeadline()
{
  if (!waiting_) {
    return;
  }
  // The owner's own verdict did not come: it, or the link to it, is in trouble.
  CloseAt(owner_);
  GiveUp({ LostSqlstate(),
           "outcome unknown: no answer from host " + owner_ +
             " within the deadline" });
}

void
EntrySession::OnHostLost(const foundation::HostId& aHost)
{
  if (transactionOwner_ == aHost) {
    const bool committing =
      waiting_ && request_.statement_class() == wire::STATEMENT_COMMIT;
    if (!waiting_) {
      transactionLost_ = true; // told with the next statement
      return;
    }
    // Only the link may be lost: the owner must not keep the transaction.
    CloseAt(aHost);
    GiveUp(committing ? Verdict{ sqlstates::kOutcomeUnknown,
                                 "outcome unknown: host " + aHost +
                                   " was lost while it committed" }
                      : Verdict{ sqlstates::kTransactionLost,
                                 "the transaction was rolled back: host " +
                                   aHost + " was lost" });
    return;
  }
  if (!waiting_ || owner_ != aHost) {
    return;
  }
  const bool begins = request_.statement_class() == wire::STATEMENT_BEGIN ||
                      request_.statement_class() == wire::STATEMENT_BEGIN_READ;
  if (begins || (IsRead() && piecesSeen_ == 0)) {
    Log(RequestEvent::HandedOn,
        { .outcome_ = wire::OUTCOME_UNKNOWN, .reason_ = "the owner was lost" });
    HandOver();
    return;
  }
  GiveUp({ LostSqlstate(), "outcome unknown: host " + aHost + " was lost" });
}

void
EntrySession::OnCancel()
{
  if (!waiting_) {
    return;
  }
  wire::PeerMessage message;
  wire::ForwardCancel& cancel = *message.mutable_forward_cancel();
  cancel.set_session(number_);
  cancel.set_request(request_.request());
  cancel.set_group(group_);
  (void)context_.port_->SendForward(owner_, std::move(message));
}

void
EntrySession::OnClosed()
{
  waiting_ = false;
  deadlineTimer_.cancel();
  for (const foundation::HostId& owner : usedOwners_) {
    CloseAt(owner);
  }
}

void
EntrySession::CloseAt(const foundation::HostId& aOwner)
{
  wire::PeerMessage message;
  message.mutable_forward_close()->set_session(number_);
  message.mutable_forward_close()->set_group(group_);
  (void)context_.port_->SendForward(aOwner, std::move(message));
}

} // namespace wigeonlb::daemon::traffic
