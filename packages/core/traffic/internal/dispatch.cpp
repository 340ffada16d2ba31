#include "core/traffic/internal/dispatch.h"

#include <algorithm>

#include "core/traffic/internal/acknowledgement.h"
#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/organisationconnections.h"
#include "core/traffic/internal/outcomes.h"
#include "core/traffic/internal/reads.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

// Maximum number of queued requests that are examined in one step.
constexpr std::size_t kScanLimit = 64;
constexpr Duration kBusyRetryAfter = 50ms;

void
Enqueue(Request& aRequest, admission::FairQueue& aQueue)
{
  aRequest.phase_ = Phase::Queued;
  aRequest.queue_ = &aQueue;
  admission::Push(aQueue, aRequest);
}

bool
NeedsMajority(const Request& aRequest)
{
  return aRequest.class_ == wire::STATEMENT_WRITE;
}

// Rejects a request for the primary that cannot be completed before its
// deadline. Returns whether it did.
bool
RejectIfLate(Context& aContext, Request& aRequest, Duration aWait)
{
  const Group& group = aContext.group_;
  const Duration left = aRequest.deadline_ - aContext.now_;
  const bool shedding = group.settings_.guards_.shedding_;
  const Duration needed =
    shedding ? aWait + group.primaryService_.mean_ : Duration::zero();
  const bool lagging =
    NeedsMajority(aRequest) && IsMajorityTooLate(aContext, left - needed);
  if (!lagging && needed <= left) {
    return false;
  }
  ++aContext.counters_.shed_;
  const Duration lag =
    lagging ? PredictMajorityDelay(aContext).measured_ : Duration::zero();
  FinishNotRun(
    aContext,
    aRequest,
    "57P03",
    lagging ? "replicas lag too far behind to acknowledge the write before its "
              "deadline"
            : "the group is too busy to run the statement before its deadline",
    std::clamp(needed + lag - left, kBusyRetryAfter, Duration(5s)));
  return true;
}

// Only targets that check positions can guarantee the floor for a transaction.
bool
MayUseReplica(const Group& aGroup, const Request& aRequest)
{
  const bool checked =
    std::ranges::all_of(aGroup.state_.targets(), [](const auto& aTarget) {
      return aTarget.checks_positions();
    });
  const bool read = aRequest.class_ == wire::STATEMENT_READ ||
                    (aRequest.class_ == wire::STATEMENT_BEGIN_READ && checked);
  return read && !aRequest.mustBePrimary_;
}

bool
MayRunNow(const Group& aGroup, const Target& aTarget)
{
  const bool slot =
    HasSlotFor(aGroup, aTarget) || !aGroup.settings_.guards_.slotLimit_;
  return slot && !aTarget.pool_.idle_.empty();
}

bool
BeginsTransaction(const Request& aRequest)
{
  return aRequest.class_ == wire::STATEMENT_BEGIN ||
         aRequest.class_ == wire::STATEMENT_BEGIN_READ;
}

void
SendOnIdleConnection(Context& aContext, Target& aTarget, Request& aRequest)
{
  auto* const connection = pool::FindIdle(
    aTarget.pool_, GetConnectionOrganisation(aContext.group_, aRequest));
  SendToTarget(aContext, static_cast<Connection&>(*connection), aRequest);
}

// Statements of an open transaction never wait for a slot: the transaction
// holds one, or the target counts slots by statement and queues what exceeds
// them.
void
DispatchTransactions(Context& aContext)
{
  Group& group = aContext.group_;
  std::vector<Request*> ready;
  for (Request& request : group.transactionWaiters_) {
    ready.push_back(&request);
  }
  for (Request* request : ready) {
    Session& session = group.sessions_.at(request->id_.session_);
    Connection* connection = FindConnection(group, session.pinned_);

    const bool atReplica = session.term_ == 0;
    const bool granted = atReplica ||
                         GrantHolds(group, session.term_, aContext.now_) ||
                         !group.settings_.guards_.grantAtDispatch_;
    if (!granted && request->class_ != wire::STATEMENT_ROLLBACK) {
      FinishNoGrant(aContext, *request);
      continue;
    }
    Unqueue(*request);
    SendToTarget(aContext, *connection, *request);
  }
}

void
DispatchPrimary(Context& aContext)
{
  Group& group = aContext.group_;
  Target* primary = FindPrimary(group);
  const bool granted = MayUsePrimary(group, aContext.now_) ||
                       !group.settings_.guards_.grantAtDispatch_;
  if (primary == nullptr || !granted) {
    return;
  }
  while (MayRunNow(group, *primary)) {
    auto* item = admission::FindNext(
      group.primaryQueue_,
      kScanLimit,
      [&](const admission::QueueItem& aItem) {
        const auto& request = static_cast<const Request&>(aItem);
        return (!BeginsTransaction(request) || MayPin(*primary)) &&
               HasIdleFor(group, *primary, request);
      },
      GetTenantScanLimit(group));
    if (item == nullptr) {
      return;
    }
    auto& request = static_cast<Request&>(*item);
    if (RejectIfLate(aContext, request, Duration::zero())) {
      continue;
    }
    admission::Serve(group.primaryQueue_, request, group.primaryService_.mean_);
    request.queue_ = nullptr;
    SendOnIdleConnection(aContext, *primary, request);
  }
}

void
RejectRead(Context& aContext, Request& aRequest)
{
  ++aContext.counters_.shed_;
  FinishNotRun(
    aContext,
    aRequest,
    "57P03",
    "the group's replicas are too busy to run the read before its deadline",
    kBusyRetryAfter);
}

// Sends queued reads to replicas with a free slot. A read for which no replica
// is eligible any more is routed again.
void
DispatchReads(Context& aContext)
{
  Group& group = aContext.group_;
  for (std::size_t i = 0; i < kScanLimit; ++i) {
    ReadDecision decision;
    auto* item = admission::FindNext(
      group.readQueue_,
      kScanLimit,
      [&](const admission::QueueItem& aItem) {
        decision = DecideRead(aContext, static_cast<const Request&>(aItem));
        return decision.kind_ != ReadDecision::Kind::Queue;
      },
      GetTenantScanLimit(group));
    if (item == nullptr) {
      return;
    }
    auto& request = static_cast<Request&>(*item);
    if (decision.kind_ != ReadDecision::Kind::Send) {
      Unqueue(request);
      Route(aContext, request);
      continue;
    }
    if (IsReadLate(aContext, request, Duration::zero())) {
      RejectRead(aContext, request);
      continue;
    }
    admission::Serve(group.readQueue_, request, group.readService_.mean_);
    request.queue_ = nullptr;
    SendOnIdleConnection(aContext, *decision.target_, request);
  }
}

void
RerouteWaitingReads(Context& aContext)
{
  Group& group = aContext.group_;
  const bool all = group.version_ != group.decidedVersion_;
  group.decidedVersion_ = group.version_;
  std::vector<Request*> due;
  for (Request& request : group.replicaWaiters_) {
    if (all || request.waitUntil_ <= aContext.now_) {
      due.push_back(&request);
    }
  }
  for (Request* request : due) {
    Unqueue(*request);
    Route(aContext, *request);
  }
}

void
RouteRead(Context& aContext, Request& aRequest)
{
  Group& group = aContext.group_;
  const ReadDecision decision = DecideRead(aContext, aRequest);
  switch (decision.kind_) {
    case ReadDecision::Kind::Send:
    case ReadDecision::Kind::Queue:
      if (WouldQueuedReadBeLate(aContext, aRequest)) {
        RejectRead(aContext, aRequest);
        return;
      }
      Enqueue(aRequest, group.readQueue_);
      return;
    case ReadDecision::Kind::Wait:
      aContext.counters_.floorWaits_ +=
        aRequest.waitUntil_ == Instant() ? 1 : 0;
      aRequest.phase_ = Phase::ReplicaWait;
      aRequest.waitUntil_ = decision.until_;
      group.replicaWaiters_.push_back(aRequest);
      return;
    case ReadDecision::Kind::Primary:
      RouteToPrimary(aContext, aRequest);
      return;
    case ReadDecision::Kind::Refuse:
      FinishNotRun(
        aContext, aRequest, "57P03", decision.reason_, decision.retryAfter_);
      return;
  }
}

} // namespace

void
RouteToPrimary(Context& aContext, Request& aRequest)
{
  Group& group = aContext.group_;
  const Target* primary = FindPrimary(group);
  const bool granted = MayUsePrimary(group, aContext.now_) ||
                       !group.settings_.guards_.grantAtDispatch_;
  if (primary == nullptr || !granted) {
    FinishNoGrant(aContext, aRequest);
    return;
  }
  if (!AcceptsWork(*primary)) {
    FinishNotRun(aContext,
                 aRequest,
                 "57P03",
                 "the group's primary is draining or leaving",
                 kBusyRetryAfter);
    return;
  }
  const Duration wait = admission::PredictWaitWithMargin(
    group.primaryService_,
    admission::CountAhead(group.primaryQueue_, aRequest),
    primary->pool_.slots_);
  if (!RejectIfLate(aContext, aRequest, wait)) {
    Enqueue(aRequest, group.primaryQueue_);
  }
}

void
Route(Context& aContext, Request& aRequest)
{
  Unqueue(aRequest);
  if (MayUseReplica(aContext.group_, aRequest)) {
    RouteRead(aContext, aRequest);
  } else {
    RouteToPrimary(aContext, aRequest);
  }
}

void
Dispatch(Context& aContext)
{
  RerouteWaitingReads(aContext);
  DispatchTransactions(aContext);
  OpenForOverdue(aContext);
  DispatchPrimary(aContext);
  DispatchReads(aContext);
}

} // namespace wigeonlb::core::traffic::internal
