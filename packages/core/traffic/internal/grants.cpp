#include "core/traffic/internal/grants.h"

#include <algorithm>
#include <vector>

#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/dispatch.h"
#include "core/traffic/internal/outcomes.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

using foundation::TermEpoch;

TermEpoch
GetTerm(const HeldGrant& aGrant)
{
  return { aGrant.term_, aGrant.epoch_ };
}

bool
IsInFlight(const Request& aRequest)
{
  return aRequest.phase_ == Phase::Running ||
         aRequest.phase_ == Phase::ReadingPosition ||
         aRequest.phase_ == Phase::Majority;
}

// A read whose response was accepted under a valid grant remains correct after
// the grant ends.
bool
IsAcceptedRead(const Request& aRequest)
{
  return !aRequest.inTransaction_ && aRequest.accepted_;
}

bool
UsesTerm(const Session& aSession, std::uint64_t aTerm)
{
  if (aSession.pinned_ != 0 && aSession.term_ == aTerm) {
    return true;
  }
  const Request* request = aSession.current_.get();
  return request != nullptr && IsInFlight(*request) &&
         request->term_ == aTerm && !IsAcceptedRead(*request);
}

bool
IsTermInUse(const Group& aGroup, std::uint64_t aTerm)
{
  return std::any_of(
    aGroup.sessions_.begin(), aGroup.sessions_.end(), [&](const auto& aEntry) {
      return UsesTerm(aEntry.second, aTerm);
    });
}

std::vector<SessionId>
GetSortedSessions(const Group& aGroup)
{
  std::vector<SessionId> ids;
  for (const auto& [id, session] : aGroup.sessions_) {
    ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

// Ends a request that is in flight under a term that ends: a read is routed
// again, the outcome of anything else is unknown.
void
EndRequest(Context& aContext, Request& aRequest)
{
  const bool read = !aRequest.inTransaction_ &&
                    aRequest.class_ == wire::STATEMENT_READ &&
                    aRequest.phase_ == Phase::Running;
  if (read) {
    DetachRequest(aContext, aRequest, true);
    aRequest.term_ = 0;
    Route(aContext, aRequest);
    return;
  }
  DetachRequest(aContext, aRequest, true);
  FinishUnknown(
    aContext, aRequest, "the grant ended before the outcome was known");
}

void
EndSession(Context& aContext, SessionId aId, std::uint64_t aTerm)
{
  Group& group = aContext.group_;
  const auto found = group.sessions_.find(aId);
  if (found == group.sessions_.end() || !UsesTerm(found->second, aTerm)) {
    return;
  }
  Session& session = found->second;
  if (session.current_ && IsInFlight(*session.current_)) {
    EndRequest(aContext, *session.current_);
    return;
  }
  if (session.current_) {
    FinishNoGrant(aContext, *session.current_);
    return;
  }
  AbortTransaction(aContext, session);
}

// Reroutes or rejects queued and waiting requests that require a grant.
void
RejectWaiting(Context& aContext)
{
  Group& group = aContext.group_;
  std::vector<RequestId> waiting;
  for (const Request& request : group.live_) {
    const bool needsGrant = request.phase_ == Phase::FreshFloor ||
                            request.queue_ == &group.primaryQueue_;
    if (needsGrant) {
      waiting.push_back(request.id_);
    }
  }
  for (const auto& id : waiting) {
    Request* request = FindRequest(group, id);
    if (request->class_ == wire::STATEMENT_READ &&
        request->phase_ == Phase::Queued) {
      Route(aContext, *request);
    } else {
      FinishNoGrant(aContext, *request);
    }
  }
}

void
EndTerm(Context& aContext, const TermEpoch& aTerm)
{
  Group& group = aContext.group_;
  const TermEpoch released =
    group.drainingTerm_ ? std::max(aTerm, group.drainingTerm_->term_) : aTerm;
  group.grant_.reset();
  group.grantEndedAt_ = aContext.now_;
  group.drainingTerm_.reset();
  ++group.version_;
  SetLimits(aContext);
  for (const auto id : GetSortedSessions(group)) {
    EndSession(aContext, id, aTerm.term_);
  }
  RejectWaiting(aContext);
  Emit(aContext, TermReleased{ released });
}

// The target counts as unresponsive here after the probe timeout divided by
// this, because another owner may have found it unreachable a little earlier.
constexpr int kUnresponsiveDivisor = 2;

bool
IsUnresponsive(const Target& aTarget, const Settings& aSettings, Instant aNow)
{
  const Probe& probe = aTarget.probe_;
  return probe.failed_ ||
         (probe.inFlight_ && aNow - probe.sentAt_ >=
                               aSettings.probeTimeout_ / kUnresponsiveDivisor);
}

// Statements in flight on an unresponsive primary cannot complete in time;
// waiting for them would only delay the next primary.
Duration
ComputeDrain(Context& aContext, const StopNewWrites& aEvent)
{
  Group& group = aContext.group_;
  const Target* primary = FindPrimary(group);
  if (aEvent.revoked_ && primary != nullptr &&
      IsUnresponsive(*primary, group.settings_, aContext.now_)) {
    return Duration::zero();
  }
  return aEvent.drain_.value_or(group.settings_.revokeDrain_);
}

} // namespace

bool
GrantHolds(const Group& aGroup, std::uint64_t aTerm, Instant aNow)
{
  return aGroup.grant_ && aGroup.grant_->term_ == aTerm &&
         aNow < aGroup.grant_->expires_;
}

bool
MayUsePrimary(const Group& aGroup, Instant aNow)
{
  return aGroup.grant_ && !aGroup.drainingTerm_ &&
         aNow < aGroup.grant_->expires_;
}

void
OnGrantChanged(Context& aContext, const GrantChanged& aEvent)
{
  Group& group = aContext.group_;
  const auto& newGrant = aEvent.grant_;
  const bool same =
    group.grant_ && newGrant && GetTerm(*group.grant_) == GetTerm(*newGrant);
  const bool draining =
    same && group.drainingTerm_ && GetTerm(*newGrant) <= group.revokedTerm_;
  if (!draining && newGrant && GetTerm(*newGrant) <= group.revokedTerm_) {
    return;
  }
  if (newGrant && group.grant_ && GetTerm(*newGrant) < GetTerm(*group.grant_)) {
    return;
  }
  if (group.grant_ && !same) {
    const TermEpoch ended = GetTerm(*group.grant_);
    group.revokedTerm_ =
      newGrant ? std::max(group.revokedTerm_, ended) : group.revokedTerm_;
    EndTerm(aContext, ended);
  }
  if (same && !draining) {
    group.drainingTerm_.reset(); // renewed after all
  }
  group.grant_ = newGrant;
  ++group.version_;
  SetLimits(aContext);
}

void
OnStopNewWrites(Context& aContext, const StopNewWrites& aEvent)
{
  Group& group = aContext.group_;
  const TermEpoch stopped{ aEvent.term_, aEvent.epoch_ };
  if (aEvent.revoked_) {
    group.revokedTerm_ = std::max(group.revokedTerm_, stopped);
  }
  if (!group.grant_ || GetTerm(*group.grant_) > stopped) {
    Emit(aContext, TermReleased{ stopped });
    return;
  }
  group.drainingTerm_ =
    DrainingTerm{ stopped, aContext.now_ + ComputeDrain(aContext, aEvent) };
  ReportWrites(aContext);
  ++group.version_;
  RejectWaiting(aContext);
}

void
EndGrantIfDue(Context& aContext)
{
  Group& group = aContext.group_;
  if (!group.grant_) {
    return;
  }
  const TermEpoch term = GetTerm(*group.grant_);
  const bool expired = aContext.now_ >= group.grant_->expires_ &&
                       group.settings_.guards_.grantAtDispatch_ &&
                       group.settings_.guards_.grantAtAcknowledgement_;
  const bool drained =
    group.drainingTerm_ && (aContext.now_ >= group.drainingTerm_->drainEnd_ ||
                            !IsTermInUse(group, term.term_));
  if (expired || drained) {
    EndTerm(aContext, term);
  }
}

Instant
NextGrantWork(const Group& aGroup)
{
  if (!aGroup.grant_) {
    return Instant::max();
  }
  const auto& guards = aGroup.settings_.guards_;
  const bool ends = guards.grantAtDispatch_ && guards.grantAtAcknowledgement_;
  const Instant end = ends ? aGroup.grant_->expires_ : Instant::max();
  return aGroup.drainingTerm_ ? std::min(end, aGroup.drainingTerm_->drainEnd_)
                              : end;
}

} // namespace wigeonlb::core::traffic::internal
