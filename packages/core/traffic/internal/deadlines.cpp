#include "core/traffic/internal/deadlines.h"

#include <algorithm>

#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/outcomes.h"

namespace wigeonlb::core::traffic::internal {

namespace {

constexpr Duration kLateRetryAfter = 50ms;

void
ExpireRequest(Context& aContext, Request& aRequest)
{
  switch (aRequest.phase_) {
    case Phase::Running:
    case Phase::ReadingPosition:
      DetachRequest(aContext, aRequest, true);
      FinishUnknown(
        aContext, aRequest, "the deadline passed before the target responded");
      return;
    case Phase::Majority:
      FinishUnknown(
        aContext,
        aRequest,
        "the deadline passed before a majority had synced the commit");
      return;
    default:
      ++aContext.counters_.shed_;
      FinishNotRun(
        aContext,
        aRequest,
        "57P03",
        "the deadline passed before the statement was sent to a target",
        kLateRetryAfter);
  }
}

// How long open transactions on the target may be idle.
Duration
GetIdleLimit(const Group& aGroup, const Target& aTarget)
{
  const auto& settings = aGroup.settings_;
  const bool contended =
    aGroup.primaryQueue_.size_ > 0 && !pool::HasFreeSlot(aTarget.pool_);
  return contended ? std::min(settings.idleTransaction_,
                              settings.idleTransactionContended_)
                   : settings.idleTransaction_;
}

bool
IsIdle(const Group& aGroup, const pool::PooledConnection& aConnection)
{
  const auto id = static_cast<const Connection&>(aConnection).session_;
  return aConnection.state_ == pool::ConnectionState::Pinned &&
         !aGroup.sessions_.at(id).current_;
}

// The connection of the transaction that has been idle longest, if that exceeds
// the limit; null otherwise.
const Connection*
FindExpiredTransaction(const Group& aGroup, Instant aNow)
{
  const Connection* oldest = nullptr;
  for (const auto& [name, target] : aGroup.targets_) {
    const Instant limit = aNow - GetIdleLimit(aGroup, *target);
    for (const auto& pooled : target->pool_.others_) {
      const bool older = oldest == nullptr || pooled.since_ < oldest->since_;
      if (IsIdle(aGroup, pooled) && pooled.since_ <= limit && older) {
        oldest = &static_cast<const Connection&>(pooled);
      }
    }
  }
  return oldest;
}

} // namespace

void
ExpireRequests(Context& aContext)
{
  auto& live = aContext.group_.live_;
  while (!live.empty() && live.begin()->deadline_ <= aContext.now_) {
    ExpireRequest(aContext, *live.begin());
  }
}

void
ExpireTransactions(Context& aContext)
{
  // One at a time: each rollback may free a slot and so end the contention that
  // shortens the limit.
  while (auto* connection =
           FindExpiredTransaction(aContext.group_, aContext.now_)) {
    Session& session = aContext.group_.sessions_.at(connection->session_);
    AbortTransaction(aContext, session);
    session.timedOut_ = true;
  }
}

Instant
NextDeadline(const Group& aGroup)
{
  Instant next = Instant::max();
  if (!aGroup.live_.empty()) {
    next = aGroup.live_.begin()->deadline_;
  }
  for (const Request& request : aGroup.replicaWaiters_) {
    next = std::min(next, request.waitUntil_);
  }
  for (const auto& [name, target] : aGroup.targets_) {
    for (const auto& pooled : target->pool_.others_) {
      if (IsIdle(aGroup, pooled)) {
        next = std::min(next, pooled.since_ + GetIdleLimit(aGroup, *target));
      }
    }
  }
  return next;
}

} // namespace wigeonlb::core::traffic::internal
