// Requests of a session whose owner does not answer or was lost.
#include "traffic/entrysession.h"

#include <algorithm>

#include "caller/sqlstates.h"

namespace wigeonlb::daemon::traffic {

namespace sqlstates = caller::sqlstates;

void
EntrySession::SetTimeout(foundation::Instant aAt, const std::string& aReason)
{
  deadlineTimer_.expires_after(aAt - foundation::SteadyNow());
  deadlineTimer_.async_wait(
    [caller = caller_, this, aReason](const boost::system::error_code& aError) {
      if (!aError && !caller->Closed()) {
        OnTimeout(aReason);
      }
    });
}

//! The owner has not reported an outcome: the owner or the link to it has
//! failed.
void
EntrySession::OnTimeout(const std::string& aReason)
{
  if (waiting_) {
    GiveUpRequest("outcome unknown: host " + owner_ + ": " + aReason);
  }
}

void
EntrySession::OnHostStops()
{
  if (waiting_) {
    GiveUpRequest("outcome unknown: this host stops");
  }
}

void
EntrySession::GiveUpRequest(const std::string& aReason)
{
  GiveUpAt(owner_);
  AbandonRequest({ GetOwnerLostSqlstate(), aReason });
}

void
EntrySession::OnHostLost(const foundation::HostId& aHost)
{
  if (transactionOwner_ == aHost) {
    const bool committing =
      waiting_ && request_.statement_class() == wire::STATEMENT_COMMIT;
    // The owner may still be running if only the link was lost. It must not
    // keep the transaction open.
    GiveUpAt(aHost);
    if (!waiting_) {
      transactionLost_ = true; // reported on the next statement
      return;
    }
    AbandonRequest(committing
                     ? LocalError{ sqlstates::kOutcomeUnknown,
                                   "outcome unknown: host " + aHost +
                                     " was lost during the commit" }
                     : LocalError{ sqlstates::kTransactionLost,
                                   "the transaction was rolled back: host " +
                                     aHost + " was lost" });
    return;
  }
  if (!waiting_ || owner_ != aHost) {
    return;
  }
  if (HasNoEffect() && receivedPieces_ == 0) {
    GiveUpAt(aHost);
    Log(RequestEvent::HandedOn,
        { .outcome_ = wire::OUTCOME_UNKNOWN, .reason_ = "the owner was lost" });
    DispatchRequest();
    return;
  }
  // The silence may be that of the host's former start, while its present one
  // has just received the request.
  const foundation::Instant lostAt = sentAt_ + context_.hostLostAfter_;
  if (receivedPieces_ == 0 && lostAt > foundation::SteadyNow()) {
    SetTimeout(std::min(lostAt, deadlineAt_), "lost");
    return;
  }
  GiveUpRequest("outcome unknown: host " + aHost + " was lost");
}

void
EntrySession::OnHostRestarted(const foundation::HostId& aHost,
                              std::uint64_t aBoot)
{
  if (transactionOwner_ == aHost) {
    if (transactionOwnerBoot_ != aBoot) {
      OnHostLost(aHost);
    }
    return;
  }
  if (!waiting_ || owner_ != aHost) {
    return;
  }
  if (HasNoEffect() || receivedPieces_ != 0) {
    OnHostLost(aHost);
  } else {
    CheckRequest();
  }
}

//! The request was sent before the restart was known, and may have reached
//! either start.
void
EntrySession::CheckRequest()
{
  wire::PeerMessage message;
  wire::ForwardCheck& check = *message.mutable_forward_check();
  check.set_session(number_);
  check.set_group(group_);
  check.set_request(request_.request());
  if (context_.port_->SendForward(owner_, std::move(message))) {
    OnHostLost(owner_);
  }
}

void
EntrySession::OnChecked(const wire::ForwardChecked& aChecked)
{
  if (waiting_ && aChecked.request() == request_.request() &&
      !aChecked.known()) {
    GiveUpRequest("outcome unknown: host " + owner_ + " was lost");
  }
}

void
EntrySession::GiveUpAt(const foundation::HostId& aOwner)
{
  context_.closes_->GiveUp(GetSessionAt(aOwner), request_.request());
}

} // namespace wigeonlb::daemon::traffic
