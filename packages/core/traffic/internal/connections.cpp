#include "core/traffic/internal/connections.h"

#include <algorithm>
#include <limits>

#include "core/traffic/internal/answers.h"
#include "core/traffic/internal/floors.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/organisationconnections.h"
#include "core/traffic/internal/probes.h"
#include "core/traffic/internal/sessionterminations.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

constexpr Duration kMinOpenBackoff = 20ms;
constexpr Duration kMaxOpenBackoff = 1s;
using pool::ConnectionState;

// A target that was merely frozen responds on its old connections within this
// time.
constexpr Duration kSuspectGracePeriod = 100ms;

bool
IsSuspect(const Connection& aConnection)
{
  return aConnection.lastReceivedAt_ < aConnection.target_->suspectCutoff_;
}

// When a connection is closed unless something is received on it first.
Instant
GetResponseDeadline(const Settings& aSettings, const Connection& aConnection)
{
  if (aConnection.state_ == ConnectionState::Opening) {
    return aConnection.since_ + aSettings.openTimeout_;
  }
  if (aConnection.state_ != ConnectionState::Busy) {
    return Instant::max();
  }
  if (aConnection.use_ == Use::Dropped) {
    return aConnection.since_ + aSettings.discardTimeout_;
  }
  if (aConnection.withProbe_ && aConnection.probeAnswered_) {
    return Instant::max();
  }
  const Target& target = *aConnection.target_;
  if (IsSuspect(aConnection)) {
    return std::max(aConnection.since_ + aSettings.probeTimeout_,
                    target.suspectedAt_ + kSuspectGracePeriod);
  }
  const bool targetResponded = target.lastReceivedAt_ > aConnection.since_;
  const bool answersImmediately =
    aConnection.withProbe_ || aConnection.use_ != Use::Statement;
  if (answersImmediately) {
    return aConnection.since_ + (targetResponded
                                   ? aSettings.responseTimeout_
                                   : aSettings.maxResponseTimeout_);
  }
  // A write may take long. Unless the target responds on other connections,
  // only the write's deadline ends it.
  return targetResponded ? aConnection.since_ + aSettings.maxResponseTimeout_
                         : Instant::max();
}

std::vector<ConnectionId>
FindUnresponsive(Group& aGroup, Instant aNow)
{
  std::vector<ConnectionId> unresponsive;
  for (auto& [id, connection] : aGroup.connections_) {
    if (GetResponseDeadline(aGroup.settings_, *connection) <= aNow) {
      unresponsive.push_back(id);
    }
  }
  // The order of the actions must not depend on the hash map.
  std::sort(unresponsive.begin(), unresponsive.end());
  return unresponsive;
}

std::uint32_t
CountWaitingForConnection(const Group& aGroup,
                          const Target& aTarget,
                          bool aPrimary)
{
  const bool enough = !aTarget.pool_.idle_.empty() || !aPrimary;
  return !enough && aGroup.primaryQueue_.size_ > 0 ? 1 : 0;
}

void
OpenMissing(Context& aContext, Target& aTarget)
{
  Group& group = aContext.group_;
  if (group.byOrganisation_ || !AcceptsWork(aTarget) ||
      aContext.now_ < aTarget.openAt_) {
    return;
  }
  const bool primary = &aTarget == FindPrimary(group);
  auto missing = pool::CountConnectionsToOpen(
    aTarget.pool_, CountWaitingForConnection(group, aTarget, primary));
  if (!group.settings_.guards_.shareLimit_) {
    missing += 1;
  }
  while (missing-- > 0 && aTarget.pool_.opening_ < kMaxConcurrentOpens) {
    Open(aContext, aTarget, {});
  }
}

void
CloseSurplus(Context& aContext, Target& aTarget)
{
  auto& pool = aTarget.pool_;
  while (auto* surplus = pool::FindSurplus(pool)) {
    Close(aContext, static_cast<Connection&>(*surplus));
  }
  while (!AcceptsWork(aTarget) && !pool.idle_.empty()) {
    Close(aContext, static_cast<Connection&>(pool.idle_.front()));
  }
}

// Checks the connection that has been idle longest, so that no write is sent on
// a connection that was lost without being closed.
void
CheckLongestIdle(Context& aContext, Target& aTarget)
{
  auto& pool = aTarget.pool_;
  if (pool.idle_.empty() || !pool::HasFreeSlot(pool)) {
    return;
  }
  auto& oldest = static_cast<Connection&>(pool.idle_.back());
  const Duration idle = aContext.now_ - oldest.lastReceivedAt_;
  if (idle < aContext.group_.settings_.idleCheckInterval_) {
    return;
  }
  pool::ChangeState(pool, oldest, ConnectionState::Busy, aContext.now_);
  oldest.use_ = Use::Check;
  oldest.newestKnown_ = routing::GetNewestPosition(aContext.group_.samples_);
  oldest.withProbe_ = false;
  Emit(aContext, ReadCommitPosition{ oldest.id_ });
}

} // namespace

Connection*
FindConnection(Group& aGroup, ConnectionId aId)
{
  const auto found = aGroup.connections_.find(aId);
  return found == aGroup.connections_.end() ? nullptr : found->second.get();
}

std::size_t
GetTenantScanLimit(const Group& aGroup)
{
  return aGroup.byOrganisation_ ? kScanPerOrganisation
                                : std::numeric_limits<std::size_t>::max();
}

void
Open(Context& aContext,
     Target& aTarget,
     const foundation::Tenant& aOrganisation)
{
  Group& group = aContext.group_;
  auto connection = std::make_unique<Connection>();
  connection->id_ = group.nextConnection_++;
  connection->organisation_ = aOrganisation;
  connection->byOrganisation_ = group.byOrganisation_;
  connection->target_ = &aTarget;
  pool::AddOpening(aTarget.pool_, *connection, aContext.now_);
  ++aContext.counters_.connectionsOpened_;
  Emit(aContext,
       OpenConnection{ connection->id_,
                       aTarget.state_.target(),
                       aTarget.state_.address(),
                       aOrganisation });
  group.connections_.emplace(connection->id_, std::move(connection));
}

const foundation::Tenant&
GetConnectionOrganisation(const Group& aGroup,
                          const admission::QueueItem& aRequest)
{
  static const foundation::Tenant kEveryone;
  return aGroup.byOrganisation_ ? aRequest.tenant_ : kEveryone;
}

bool
HasSlotFor(const Group& aGroup, const Target& aTarget)
{
  return aGroup.byOrganisation_ ? pool::HasSlotToOpen(aTarget.pool_)
                                : pool::HasFreeSlot(aTarget.pool_);
}

bool
HasIdleFor(Group& aGroup, Target& aTarget, const admission::QueueItem& aRequest)
{
  return pool::FindIdle(aTarget.pool_,
                        GetConnectionOrganisation(aGroup, aRequest)) != nullptr;
}

void
TerminateSessionIfUsed(Connection& aConnection)
{
  const bool inFlight = aConnection.state_ == ConnectionState::Busy &&
                        aConnection.use_ != Use::None;
  if (inFlight || aConnection.state_ == ConnectionState::Pinned) {
    ScheduleTermination(*aConnection.target_, aConnection.backend_);
  }
}

void
Close(Context& aContext, Connection& aConnection)
{
  TerminateSessionIfUsed(aConnection);
  pool::RemoveConnection(aConnection.target_->pool_, aConnection);
  Emit(aContext, CloseConnection{ aConnection.id_ });
  aContext.group_.connections_.erase(aConnection.id_);
}

void
CloseAll(Context& aContext, Target& aTarget)
{
  std::vector<ConnectionId> ids;
  for (const auto& connection : aTarget.pool_.idle_) {
    ids.push_back(connection.id_);
  }
  for (const auto& connection : aTarget.pool_.others_) {
    ids.push_back(connection.id_);
  }
  for (const auto id : ids) {
    if (auto* connection = FindConnection(aContext.group_, id)) {
      OnConnectionLost(aContext, *connection, {});
    }
  }
}

void
ReturnToPool(Context& aContext, Connection& aConnection)
{
  Target& target = *aConnection.target_;
  const bool cancelled = aConnection.cancelSent_ &&
                         aContext.group_.settings_.guards_.closeAfterCancel_;
  const bool surplus =
    pool::CountConnections(target.pool_) > target.pool_.share_;
  const bool otherMode =
    aConnection.byOrganisation_ != aContext.group_.byOrganisation_;
  aConnection.use_ = Use::None;
  if (cancelled || surplus || otherMode || !AcceptsWork(target)) {
    Close(aContext, aConnection);
    return;
  }
  aConnection.session_ = 0;
  aConnection.cancelSent_ = false;
  pool::ChangeState(
    target.pool_, aConnection, ConnectionState::Idle, aContext.now_);
}

void
SendToTarget(Context& aContext, Connection& aConnection, Request& aRequest)
{
  Group& group = aContext.group_;
  Target& target = *aConnection.target_;
  const bool isRetry = aRequest.attempts_ > 0;
  aContext.counters_.statementRetries_ += isRetry ? 1 : 0;
  ++aRequest.attempts_;
  ++aRequest.possibleRuns_;
  aRequest.accepted_ = false;
  aRequest.phase_ = Phase::Running;
  aRequest.connection_ = aConnection.id_;
  aRequest.servedBy_ = target.state_.target();
  const bool primary = &target == FindPrimary(group);
  if (!aRequest.inTransaction_) {
    aRequest.term_ = primary ? group.grant_->term_ : 0;
  }
  const bool read = !aRequest.inTransaction_ && IsRead(aRequest.class_);
  const bool checks = target.state_.checks_positions();
  const bool probe = read && !checks;
  aConnection.newestKnown_ = routing::GetNewestPosition(group.samples_);
  aConnection.floor_ = {};
  if (read && checks) {
    const auto required =
      ComputeRequiredPosition(group, aRequest, aContext.now_);
    // Without a value, the staleness bound cannot be guaranteed by a position.
    // The primary under the grant satisfies any bound, so it needs only the
    // session's floor.
    aConnection.floor_ =
      MapFloorToHistory(group, required.value_or(aRequest.floor_));
  }
  pool::ChangeState(
    target.pool_, aConnection, ConnectionState::Busy, aContext.now_);
  aConnection.use_ = Use::Statement;
  ++aConnection.uses_;
  aConnection.session_ = aRequest.id_.session_;
  aConnection.withProbe_ = probe;
  aConnection.probeAnswered_ = false;
  if (aRequest.term_ != 0) {
    OnWriteSent(aContext, aRequest);
  }
  const Session& session = group.sessions_.at(aRequest.id_.session_);
  const bool checkHasWritten = aRequest.inTransaction_ && !session.wrote_ &&
                               !session.failed_ &&
                               aRequest.class_ == wire::STATEMENT_COMMIT &&
                               group.settings_.guards_.detectHiddenWrites_;
  Emit(aContext,
       SendStatement{ aConnection.id_,
                      aRequest.id_,
                      probe,
                      probe,
                      checkHasWritten,
                      aConnection.floor_ });
}

bool
IsRead(wire::StatementClass aClass)
{
  return aClass == wire::STATEMENT_READ ||
         aClass == wire::STATEMENT_PRIMARY_READ ||
         aClass == wire::STATEMENT_BEGIN_READ;
}

void
DetachRequest(Context& aContext, Request& aRequest, bool aClose)
{
  Connection* connection =
    FindConnection(aContext.group_, aRequest.connection_);
  aRequest.connection_ = 0;
  if (connection == nullptr) {
    return;
  }
  if (!aClose && !connection->cancelSent_) {
    connection->use_ = Use::Dropped;
    connection->session_ = 0;
    connection->since_ = aContext.now_;
    Emit(aContext, DropAnswer{ connection->id_, aRequest.id_ });
    return;
  }
  if (connection->state_ == ConnectionState::Busy &&
      connection->use_ == Use::Statement) {
    Emit(aContext, CancelOnTarget{ connection->id_ });
  }
  Close(aContext, *connection);
}

void
OnConnectionOpened(Context& aContext, const ConnectionOpened& aEvent)
{
  Connection* connection = FindConnection(aContext.group_, aEvent.connection_);
  if (connection == nullptr || connection->state_ != ConnectionState::Opening) {
    return;
  }
  Target& target = *connection->target_;
  connection->backend_ = aEvent.backend_;
  connection->lastReceivedAt_ = aContext.now_;
  target.lastReceivedAt_ = aContext.now_;
  target.openBackoff_ = Duration::zero();
  ReturnToPool(aContext, *connection);
}

void
OnConnectionFailed(Context& aContext, const ConnectionFailed& aEvent)
{
  Connection* connection = FindConnection(aContext.group_, aEvent.connection_);
  if (connection == nullptr || connection->state_ != ConnectionState::Opening) {
    return;
  }
  Target& target = *connection->target_;
  pool::RemoveConnection(target.pool_, *connection);
  aContext.group_.connections_.erase(aEvent.connection_);
  target.openBackoff_ =
    std::clamp(target.openBackoff_ * 2, kMinOpenBackoff, kMaxOpenBackoff);
  target.openAt_ = aContext.now_ + target.openBackoff_;
  routing::RecordFailure(target.health_);
  EjectOutlierReplicas(aContext);
  ProbeNow(aContext, target);
}

void
MaintainConnections(Context& aContext)
{
  for (auto& [name, target] : aContext.group_.targets_) {
    CloseSurplus(aContext, *target);
    OpenMissing(aContext, *target);
    CheckLongestIdle(aContext, *target);
  }
  OpenForOrganisations(aContext);
}

void
MarkSuspectConnections(Context& aContext, Target& aTarget, Instant aSince)
{
  aTarget.suspectCutoff_ = aSince;
  aTarget.suspectedAt_ = aContext.now_;
  std::vector<ConnectionId> idle;
  for (const auto& pooled : aTarget.pool_.idle_) {
    if (IsSuspect(static_cast<const Connection&>(pooled))) {
      idle.push_back(pooled.id_);
    }
  }
  for (const auto id : idle) {
    ++aContext.counters_.unresponsiveConnections_;
    Connection& connection = *FindConnection(aContext.group_, id);
    ScheduleTermination(aTarget, connection.backend_);
    Close(aContext, connection);
  }
}

void
CloseUnresponsiveConnections(Context& aContext)
{
  for (const auto id : FindUnresponsive(aContext.group_, aContext.now_)) {
    Connection* connection = FindConnection(aContext.group_, id);
    if (connection == nullptr) {
      continue;
    }
    ++aContext.counters_.unresponsiveConnections_;
    OnConnectionLost(aContext, *connection, {});
  }
}

Instant
NextConnectionWork(const Group& aGroup)
{
  Instant next = Instant::max();
  for (const auto& [id, connection] : aGroup.connections_) {
    next = std::min(next, GetResponseDeadline(aGroup.settings_, *connection));
  }
  for (const auto& [name, target] : aGroup.targets_) {
    const auto& pool = target->pool_;
    if (!AcceptsWork(*target)) {
      continue;
    }
    if (!pool.idle_.empty() && pool::HasFreeSlot(pool)) {
      next = std::min(next,
                      pool.idle_.back().lastReceivedAt_ +
                        aGroup.settings_.idleCheckInterval_);
    }
    const bool wants = aGroup.byOrganisation_
                         ? target->openAt_ != Instant()
                         : pool::CountConnectionsToOpen(pool, 0) > 0;
    if (wants && pool.opening_ < kMaxConcurrentOpens) {
      next = std::min(next, target->openAt_);
    }
  }
  return next;
}

} // namespace wigeonlb::core::traffic::internal
