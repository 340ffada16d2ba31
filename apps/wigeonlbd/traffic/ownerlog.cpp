// The log lines of an owner group about requests.
#include "traffic/ownergroup.h"

namespace wigeonlb::daemon::traffic {

namespace {

namespace core_traffic = core::traffic;
using foundation::SteadyNow;

//! The fields of a log line that identify a session's current request.
RequestDecision
MakeDecision(std::string_view aGroup,
             const OwnedSession& aSession,
             foundation::Instant aNow)
{
  const wire::ForwardRequest& request = aSession.request_;
  RequestDecision decision;
  decision.request_ = { request.statement_id(),
                        std::get<0>(aSession.key_),
                        std::get<2>(aSession.key_),
                        request.request() };
  decision.group_ = aGroup;
  decision.class_ = request.statement_class();
  if (request.has_transaction()) {
    decision.transaction_ = request.transaction();
  }
  decision.openTransaction_ = aSession.openTransaction_;
  decision.floor_ = { request.floor().term(), request.floor().offset() };
  decision.took_ = aNow - aSession.arrivedAt_;
  return decision;
}

} // namespace

void
OwnerGroup::LogIfTransactionDiffers(const OwnedSession& aSession)
{
  const wire::ForwardRequest& request = aSession.request_;
  const std::uint64_t open =
    aSession.openTransaction_ ? aSession.openTransaction_->transaction_ : 0;
  if (settings_.log_ == nullptr || !request.has_transaction() ||
      request.transaction() == open) {
    return;
  }
  const foundation::Instant now = SteadyNow();
  RequestDecision decision = MakeDecision(settings_.group_, aSession, now);
  decision.event_ = RequestEvent::TransactionDiffers;
  settings_.log_->Write(decision, now);
}

void
OwnerGroup::Log(const OwnedSession& aSession,
                const core_traffic::Finish& aFinish)
{
  if (settings_.log_ == nullptr || aFinish.sqlstate_.empty() ||
      aFinish.passTargetAnswer_) {
    return;
  }
  const foundation::Instant now = SteadyNow();
  const auto groupStatus = core_traffic::GetGroupStatus(state_, now);
  RequestDecision decision = MakeDecision(settings_.group_, aSession, now);
  decision.event_ = RequestEvent::Finished;
  decision.outcome_ = aFinish.outcome_;
  decision.sqlstate_ = aFinish.sqlstate_;
  decision.reason_ = aFinish.message_;
  decision.target_ = aFinish.servedBy_;
  decision.grantTerm_ = groupStatus.grantTerm_;
  decision.leaseRemaining_ = groupStatus.leaseRemaining_;
  decision.queued_ = groupStatus.queued_;
  decision.queuedForPrimary_ = groupStatus.queuedForPrimary_;
  decision.openTransactions_ = groupStatus.openTransactions_;
  decision.newest_ = groupStatus.newest_;
  decision.newestAge_ = groupStatus.newestAge_;
  settings_.log_->Write(decision, now);
}

} // namespace wigeonlb::daemon::traffic
