#include "traffic/entrysession.h"

#include <algorithm>

#include "caller/sqlstates.h"
#include "core/session/sessiontoken.h"
#include "foundation/keydigest.h"

namespace wigeonlb::daemon::traffic {

namespace {

namespace sqlstates = caller::sqlstates;
using foundation::Duration;
using foundation::SteadyNow;

//! The owner answers at the deadline. This is the additional time to wait for
//! its answer.
constexpr Duration kAnswerGraceMs = std::chrono::milliseconds(250);

//! Retry delay that is suggested to callers when no owner is available.
constexpr Duration kNoOwnerRetryDelayMs = std::chrono::milliseconds(300);

constexpr std::string_view kServerVersion = "15.0 (wigeonlb)";

//! Hexadecimal text of a digest, used as tenant where the user name may be a
//! key.
std::string
FormatDigest(std::string_view aDigest)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : aDigest) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

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
  keyDigest_ = foundation::DigestKey(aRequest.user_);
  database_ = aRequest.database_;
  if (const DatabaseRoute* const database = FindDatabase()) {
    group_ = database->group_;
  }
  const foundation::Instant now = SteadyNow();
  const NameVerdict verdict = JudgeName(context_.routes_, database_, now);
  std::optional<LocalError> refusal;
  if (verdict != NameVerdict::Known) {
    refusal = MakeNameError(verdict);
  } else if (context_.routes_->organisations_ != nullptr) {
    refusal = IdentifyCaller();
  } else {
    tenant_ = context_.protocol_->userIsSecret_ ? FormatDigest(keyDigest_)
                                                : aRequest.user_;
  }
  if (refusal) {
    LogRefusal(*refusal, now);
    caller_->Refuse({ "FATAL",
                      std::string(refusal->sqlstate_),
                      refusal->message_,
                      refusal->detail_,
                      verdict == NameVerdict::Unknown
                        ? "`show groups` lists the groups"
                        : "" });
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
  const core::classification::Classification& classified =
    context_.cache_->Find(aSql);
  if (classified.refusal_) {
    const core::classification::Refusal& refusal = *classified.refusal_;
    FailLocally({ refusal.sqlstate_,
                  refusal.message_,
                  refusal.position_ == 0
                    ? ""
                    : "at character " + std::to_string(refusal.position_) });
    return;
  }
  if (classified.proxySetting_) {
    AnswerSetting(*classified.proxySetting_);
    return;
  }
  if (HandleSessionEffect(classified.sessionEffect_)) {
    return;
  }
  if (classified.statementCount_ == 0) {
    std::string frames;
    context_.protocol_->appendEmpty_(frames);
    caller_->Send(std::move(frames));
    caller_->FinishQuery(status_);
    return;
  }
  if (classified.requiresTransaction_ && !InTransaction()) {
    FailLocally({ sqlstates::kActiveTransaction,
                  "the statement can only be used in a transaction" });
    return;
  }
  SendRequest(classified, aSql);
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
    const foundation::Instant now = SteadyNow();
    const LocalError error =
      MakeNameError(JudgeName(context_.routes_, database_, now));
    LogRefusal(error, now);
    FailLocally(error);
    return;
  }
  if (!InTransaction()) {
    // Since the last operation the key may have been removed, or assigned to
    // another organisation.
    if (const auto error = IdentifyCaller()) {
      LogRefusal(*error, SteadyNow());
      FailLocally(*error);
      return;
    }
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
  request_.set_transaction(transaction_);
  if (!AddStatement(aClass, aSql)) {
    return;
  }
  request_.set_data_centre(context_.dataCentre_);
  if (!InTransaction()) {
    AttachRequestKey(settings_, request_);
  }
  AddReadBounds(*route);
  startedAt_ = SteadyNow();
  deadlineAt_ =
    startedAt_ + settings_.deadline_.value_or(GetStatementTimeout(*route));
  waiting_ = true;
  nextOwner_ = 0;
  refusal_.clear();
  owner_.clear();
  SetTimeout(deadlineAt_ + kAnswerGraceMs, "no answer within the deadline");
  DispatchRequest();
}

bool
EntrySession::IsRead() const
{
  return request_.statement_class() == wire::STATEMENT_READ;
}

Duration
EntrySession::GetRemainingTime() const
{
  return std::max(deadlineAt_ - SteadyNow(), Duration::zero());
}

void
EntrySession::DispatchRequest()
{
  if (InTransaction()) {
    if (transactionLost_ || !TryOwner(transactionOwner_)) {
      transactionLost_ = false;
      OnHostLost(transactionOwner_);
    }
    return;
  }
  const GroupRoute* const route = Route();
  const auto owners =
    route == nullptr
      ? std::vector<foundation::HostId>()
      : ListOwnersFor(*context_.routes_, group_, *route, tenant_);
  while (nextOwner_ < owners.size()) {
    if (TryOwner(owners[nextOwner_++])) {
      return;
    }
  }
  AbandonRequest({ sqlstates::kNotRun,
                   refusal_.empty() ? "not run: no owner of group '" + group_ +
                                        "' can be reached"
                                    : refusal_,
                   FormatRetryDelay(kNoOwnerRetryDelayMs) });
}

bool
EntrySession::TryOwner(const foundation::HostId& aOwner)
{
  owner_ = aOwner;
  const SessionAtOwner at = GetSessionAt(aOwner);
  if (std::ranges::find(usedOwners_, at) == usedOwners_.end()) {
    usedOwners_.push_back(at);
  }
  sentAt_ = SteadyNow();
  // Each attempt has its own number, so that late answers to earlier attempts
  // are recognised.
  request_.set_request(request_.request() + 1);
  receivedPieces_ = 0;
  receivedBytes_ = 0;
  creditedBytes_ = 0;
  request_.set_deadline_us(
    static_cast<std::uint64_t>(GetRemainingTime().count()));
  wire::PeerMessage message;
  *message.mutable_forward_request() = request_;
  if (context_.port_->SendForward(aOwner, std::move(message))) {
    return false;
  }
  context_.closes_->OnRequestSent(at);
  return true;
}

void
EntrySession::OnFrames(wire::ForwardFrames aFrames)
{
  if (!waiting_ || aFrames.request() != request_.request() ||
      aFrames.sequence() != receivedPieces_) {
    return; // late, or a piece was lost, which OnEnd detects
  }
  ++receivedPieces_;
  receivedBytes_ += aFrames.frames().size();
  caller_->Send(std::move(*aFrames.mutable_frames()));
  SendCredit();
}

void
EntrySession::OnDrained()
{
  if (waiting_) {
    SendCredit();
  }
}

void
EntrySession::SendCredit()
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
EntrySession::OnEnd(wire::ForwardEnd aEnd, std::uint64_t aOwnerBoot)
{
  if (!waiting_ || aEnd.request() != request_.request()) {
    return;
  }
  if (aEnd.not_owner() && InTransaction()) {
    AbandonRequest({ sqlstates::kTransactionLost,
                     "the transaction was rolled back: host " + owner_ +
                       " is no longer an owner of the group" });
    return;
  }
  if (aEnd.not_owner()) {
    refusal_ = aEnd.message();
    Log(RequestEvent::HandedOn,
        { .outcome_ = aEnd.outcome(), .reason_ = refusal_ });
    DispatchRequest();
    return;
  }
  if (aEnd.pieces() != receivedPieces_) {
    // Part of the answer was lost between the hosts. The caller must not take
    // an incomplete answer for a complete one.
    GiveUpAt(owner_);
    AbandonRequest({ sqlstates::kOutcomeUnknown,
                     "part of the answer was lost between two hosts" });
    return;
  }
  if (!aEnd.last_frames().empty()) {
    caller_->Send(std::move(*aEnd.mutable_last_frames()));
  }
  if (aEnd.has_position()) {
    RaiseSessionFloor(aEnd.position());
  }
  AnswerOutcome(aEnd, aOwnerBoot);
}

void
EntrySession::RaiseSessionFloor(const wire::LogPosition& aPosition)
{
  const bool moved = core::session::RaiseFloor(
    settings_.floors_, group_, { aPosition.term(), aPosition.offset() });
  settings_.needsFreshFloor_ = false;
  std::string token;
  if (context_.protocol_->appendParameter_ == nullptr) {
    return; // the protocol has no way to send the token
  }
  if (!moved || core::session::EncodeToken(settings_.floors_, token)) {
    return;
  }
  std::string frames;
  context_.protocol_->appendParameter_(frames, "wigeonlb.session", token);
  caller_->Send(std::move(frames));
}

void
EntrySession::FailLocally(const LocalError& aLocalError)
{
  SendError(aLocalError);
  caller_->FinishQuery(status_);
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
  const bool hasOutstanding = waiting_ || InTransaction();
  waiting_ = false;
  deadlineTimer_.cancel();
  for (const SessionAtOwner& at : usedOwners_) {
    if (hasOutstanding && at == GetSessionAt(owner_)) {
      context_.closes_->GiveUp(at, request_.request());
    } else {
      context_.closes_->Close(at, request_.request());
    }
  }
}

SessionAtOwner
EntrySession::GetSessionAt(const foundation::HostId& aOwner) const
{
  return { aOwner, group_, number_ };
}

} // namespace wigeonlb::daemon::traffic
