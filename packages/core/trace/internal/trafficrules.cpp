#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "core/trace/internal/rules.h"
#include "foundation/logposition.h"
#include "foundation/termepoch.h"

namespace wigeonlb::core::trace::internal {

namespace {

using foundation::LogPosition;
using foundation::TermEpoch;

using RequestId = std::pair<std::uint64_t, std::uint64_t>;

LogPosition
ToPosition(const wire::LogPosition& aPosition)
{
  return { aPosition.term(), aPosition.offset() };
}

struct ConnectionView
{
  std::uint64_t session_ = 0;
  bool inTransaction_ = false;
};

//! State of one owner, reconstructed from its records so far.
struct OwnerView
{
  std::optional<wire::GroupState> group_;
  //! Targets that accept no new work, with the time in us at which they
  //! stopped.
  std::map<std::string, std::uint64_t> unavailableSinceUs_;
  //! How often each request that is unsafe to repeat was sent to a target.
  std::map<RequestId, unsigned> unsafeSends_;
  std::multiset<RequestId> sent_;
  std::set<RequestId> finished_;
  //! Position of the highest acknowledged write of each session.
  std::map<std::uint64_t, LogPosition> acknowledged_;
  std::map<std::uint64_t, ConnectionView> connections_;
  //! Highest term in which new writes were stopped permanently.
  TermEpoch stoppedTerm_;
  //! Highest term in which all work has ended; none after a new grant.
  TermEpoch drainedTerm_;
  //! Highest term whose grant was released, which ends it permanently.
  TermEpoch releasedTerm_;
};

using OwnerKey = std::tuple<std::size_t, std::string, std::uint64_t>;

struct TrafficRules
{
  RuleInput& input_;
  std::map<OwnerKey, OwnerView> owners_;
  std::set<std::size_t> incomplete_; //!< traces with dropped records
  //! Epoch of the last grant of each group, by trace.
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> epochs_;

  OwnerView& GetOwner(const RecordLocation& aLocation,
                      const wire::RequestKey& aKey)
  {
    return owners_[{ aLocation.trace_, aKey.group(), aKey.owner() }];
  }
};

RequestId
GetRequestId(const wire::RequestKey& aKey)
{
  return { aKey.session(), aKey.request() };
}

std::string
FormatRequest(const wire::RequestKey& aKey)
{
  return "request " + std::to_string(aKey.request()) + " of session " +
         std::to_string(aKey.session()) + " of " + aKey.group();
}

//! True if the request must not run twice. Outside of transactions, reads and
//! statements marked repeatable are safe to repeat; all others are not.
bool
IsUnsafe(const wire::HandedOver& aEvent)
{
  const bool read = aEvent.statement_class() == wire::STATEMENT_READ;
  return aEvent.in_transaction() || (!read && !aEvent.repeatable());
}

void
CheckEvent(TrafficRules& aRules,
           const RecordLocation& aLocation,
           const wire::HandedOver& aEvent)
{
  OwnerView& owner = aRules.GetOwner(aLocation, aEvent.key());
  const RequestId id = GetRequestId(aEvent.key());
  owner.sent_.insert(id);
  if (IsUnsafe(aEvent) && ++owner.unsafeSends_[id] == 2) {
    AddFinding(aRules.input_,
               rule::kHandedOverTwice,
               aLocation,
               FormatRequest(aEvent.key()) + " was sent to a target again");
  }
  if (owner.finished_.contains(id)) {
    AddFinding(aRules.input_,
               rule::kNotRun,
               aLocation,
               FormatRequest(aEvent.key()) +
                 " was sent to a target after it was finished");
  }
  const auto unavailable = owner.unavailableSinceUs_.find(aEvent.target());
  if (!aEvent.in_transaction() &&
      unavailable != owner.unavailableSinceUs_.end() &&
      aLocation.record_->at_us() >
        unavailable->second +
          static_cast<std::uint64_t>(
            foundation::Duration(kDrainGracePeriodMs).count())) {
    AddFinding(aRules.input_,
               rule::kDrainedTarget,
               aLocation,
               aEvent.target() + " has accepted no new work since " +
                 std::to_string(unavailable->second) + " us");
  }
  ConnectionView& connection = owner.connections_[aEvent.connection()];
  if (connection.inTransaction_ &&
      connection.session_ != aEvent.key().session()) {
    AddFinding(aRules.input_,
               rule::kMixedTransactions,
               aLocation,
               "connection " + std::to_string(aEvent.connection()) +
                 " is in a transaction of session " +
                 std::to_string(connection.session_));
  }
}

//! A statement that the target refused without running it is treated as never
//! sent.
void
CheckEvent(TrafficRules& aRules,
           const RecordLocation& aLocation,
           const wire::RefusedByTarget& aEvent)
{
  OwnerView& owner = aRules.GetOwner(aLocation, aEvent.key());
  const auto found = owner.sent_.find(GetRequestId(aEvent.key()));
  if (found != owner.sent_.end()) {
    owner.sent_.erase(found);
  }
}

void
CheckEvent(TrafficRules& aRules,
           const RecordLocation& aLocation,
           const wire::TransactionStatus& aEvent)
{
  ConnectionView& connection =
    aRules.GetOwner(aLocation, aEvent.key()).connections_[aEvent.connection()];
  connection.session_ = aEvent.key().session();
  connection.inTransaction_ = aEvent.status() != "I";
}

void
CheckEvent(TrafficRules& aRules,
           const RecordLocation& aLocation,
           const wire::ReadAnswered& aEvent)
{
  const LogPosition floor = ToPosition(aEvent.floor());
  const LogPosition position = ToPosition(aEvent.position());
  const auto reaches = [&](const LogPosition& aNeeded) {
    return position.term_ >= aNeeded.term_ &&
           position.offset_ >= aNeeded.offset_;
  };
  if (!reaches(floor)) {
    AddFinding(aRules.input_,
               rule::kBelowFloor,
               aLocation,
               FormatRequest(aEvent.key()) + " was answered at " +
                 foundation::ToString(position) + ", below its floor " +
                 foundation::ToString(floor));
    return;
  }
  const auto& acknowledged =
    aRules.GetOwner(aLocation, aEvent.key()).acknowledged_;
  const auto own = acknowledged.find(aEvent.key().session());
  if (own != acknowledged.end() && !reaches(own->second)) {
    AddFinding(aRules.input_,
               rule::kOwnWrite,
               aLocation,
               FormatRequest(aEvent.key()) + " was answered at " +
                 foundation::ToString(position) + ", before its own write at " +
                 foundation::ToString(own->second));
  }
}

//! True if the target counts for majorities, has the incarnation that was
//! admitted, and has synced the log of the position's term up to its offset.
bool
HasSynced(const wire::GroupState& aGroup,
          const wire::SeenPosition& aSeen,
          const LogPosition& aPosition)
{
  for (const auto& target : aGroup.targets()) {
    if (target.target() == aSeen.target()) {
      return target.counted() && target.incarnation() == aSeen.incarnation() &&
             aSeen.adopted_term() == aPosition.term_ &&
             aSeen.synced_offset() >= aPosition.offset_;
    }
  }
  return false;
}

//! True if the offset can belong to the term: it is not below the term's start
//! offset.
bool
IsInTerm(const wire::GroupState& aGroup, const wire::LogPosition& aPosition)
{
  for (const auto& start : aGroup.history()) {
    if (start.term() == aPosition.term()) {
      return aPosition.offset() >= start.start_offset();
    }
  }
  return false;
}

void
CheckMajority(TrafficRules& aRules,
              const RecordLocation& aLocation,
              const wire::GroupState& aGroup,
              const wire::WriteAcknowledged& aEvent)
{
  std::size_t counted = 0;
  for (const auto& target : aGroup.targets()) {
    counted += target.counted() ? 1 : 0;
  }
  const LogPosition position = ToPosition(aEvent.position());
  std::set<std::string> synced;
  bool primary = false;
  for (const auto& seen : aEvent.seen()) {
    if (HasSynced(aGroup, seen, position)) {
      synced.insert(seen.target());
    }
    // For the primary the adopted term is sufficient: its answer to the write
    // may be newer than its last reported position.
    primary = primary || (seen.target() == aGroup.primary() &&
                          aGroup.term() == position.term_ &&
                          HasSynced(aGroup, seen, { position.term_, 0 }));
  }
  if (synced.size() * 2 <= counted || !primary ||
      !IsInTerm(aGroup, aEvent.position())) {
    AddFinding(
      aRules.input_,
      rule::kNoMajority,
      aLocation,
      FormatRequest(aEvent.key()) + " at " + foundation::ToString(position) +
        " is known to be synced by " + std::to_string(synced.size()) + " of " +
        std::to_string(counted) + " targets" +
        (primary ? "" : ", and the primary is not in the write's term"));
  }
}

void
CheckEvent(TrafficRules& aRules,
           const RecordLocation& aLocation,
           const wire::WriteAcknowledged& aEvent)
{
  OwnerView& owner = aRules.GetOwner(aLocation, aEvent.key());
  const LogPosition position = ToPosition(aEvent.position());
  const bool ended =
    std::max(owner.releasedTerm_, owner.drainedTerm_) >=
    TermEpoch{ position.term_,
               aRules.epochs_[{ aLocation.trace_, aEvent.key().group() }] };
  const bool held = aEvent.grant_term() == position.term_ &&
                    aEvent.lease_left_us() > 0 && !ended;
  if (!held) {
    AddFinding(aRules.input_,
               rule::kNoGrant,
               aLocation,
               FormatRequest(aEvent.key()) + " in term " +
                 std::to_string(position.term_) + " under a grant of term " +
                 std::to_string(aEvent.grant_term()) + " with " +
                 std::to_string(aEvent.lease_left_us()) + " us left" +
                 (ended ? ", which had already ended" : ""));
  }
  if (owner.group_) {
    CheckMajority(aRules, aLocation, *owner.group_, aEvent);
  } else if (!aRules.incomplete_.contains(aLocation.trace_)) {
    AddFinding(aRules.input_,
               rule::kNoMajority,
               aLocation,
               FormatRequest(aEvent.key()) +
                 " in a group without a recorded state");
  }
  LogPosition& own = owner.acknowledged_[aEvent.key().session()];
  own = std::max(own, position);
}

void
CheckEvent(TrafficRules& aRules,
           const RecordLocation& aLocation,
           const wire::RequestFinished& aEvent)
{
  OwnerView& owner = aRules.GetOwner(aLocation, aEvent.key());
  const RequestId id = GetRequestId(aEvent.key());
  if (!owner.finished_.insert(id).second) {
    AddFinding(aRules.input_,
               rule::kFinishedTwice,
               aLocation,
               FormatRequest(aEvent.key()) + " was already finished");
  }
  if (aEvent.outcome() == wire::OUTCOME_NOT_RUN && owner.sent_.contains(id)) {
    AddFinding(aRules.input_,
               rule::kNotRun,
               aLocation,
               FormatRequest(aEvent.key()) +
                 " was sent to a target, but is reported as not run");
  }
}

void
CheckEvent(TrafficRules& aRules,
           const RecordLocation& aLocation,
           const wire::GroupInForce& aEvent)
{
  OwnerView& owner =
    aRules
      .owners_[{ aLocation.trace_, aEvent.group().group(), aEvent.owner() }];
  owner.group_ = aEvent.group();
  for (const auto& target : aEvent.targets()) {
    if (target.takes_work()) {
      owner.unavailableSinceUs_.erase(target.target());
    } else {
      owner.unavailableSinceUs_.emplace(target.target(),
                                        aLocation.record_->at_us());
    }
  }
}

//! Raises the given term of every owner of the group on the host of the record.
void
RaiseTerm(TrafficRules& aRules,
          const RecordLocation& aLocation,
          const wire::GrantKey& aKey,
          TermEpoch OwnerView::*aTerm)
{
  for (auto& [key, owner] : aRules.owners_) {
    if (std::get<0>(key) == aLocation.trace_ &&
        std::get<1>(key) == aKey.group()) {
      owner.*aTerm = std::max(owner.*aTerm, foundation::GetTermEpoch(aKey));
    }
  }
}

//! Processes a new grant. After a lease has expired, another grant for the same
//! term may follow, but not after new writes of the term were stopped.
void
ProcessGrantHeld(TrafficRules& aRules,
                 const RecordLocation& aLocation,
                 const wire::Grant& aGrant)
{
  aRules.epochs_[{ aLocation.trace_, aGrant.group() }] = aGrant.epoch();
  for (auto& [key, owner] : aRules.owners_) {
    if (std::get<0>(key) == aLocation.trace_ &&
        std::get<1>(key) == aGrant.group() &&
        owner.stoppedTerm_ < foundation::GetTermEpoch(aGrant)) {
      owner.drainedTerm_ = {};
    }
  }
}

//! Clears the state that dropped records may have changed, as it is unknown
//! from here on. Events that were recorded remain valid: a request that was
//! sent, a term that was released.
void
ProcessDropped(TrafficRules& aRules, const RecordLocation& aLocation)
{
  aRules.incomplete_.insert(aLocation.trace_);
  for (auto& [key, owner] : aRules.owners_) {
    if (std::get<0>(key) == aLocation.trace_) {
      owner.group_.reset();
      owner.unavailableSinceUs_.clear();
      owner.connections_.clear();
    }
  }
}

void
CheckRecord(TrafficRules& aRules, const RecordLocation& aLocation)
{
  using Body = wire::TraceRecord::BodyCase;
  const wire::TraceRecord& record = *aLocation.record_;
  switch (record.body_case()) {
    case Body::kHandedOver:
      return CheckEvent(aRules, aLocation, record.handed_over());
    case Body::kRefusedByTarget:
      return CheckEvent(aRules, aLocation, record.refused_by_target());
    case Body::kTransactionStatus:
      return CheckEvent(aRules, aLocation, record.transaction_status());
    case Body::kReadAnswered:
      return CheckEvent(aRules, aLocation, record.read_answered());
    case Body::kWriteAcknowledged:
      return CheckEvent(aRules, aLocation, record.write_acknowledged());
    case Body::kRequestFinished:
      return CheckEvent(aRules, aLocation, record.request_finished());
    case Body::kGroupInForce:
      return CheckEvent(aRules, aLocation, record.group_in_force());
    case Body::kGrantHeld:
      return ProcessGrantHeld(aRules, aLocation, record.grant_held().grant());
    case Body::kGrantStopped:
      return RaiseTerm(
        aRules, aLocation, record.grant_stopped(), &OwnerView::stoppedTerm_);
    case Body::kGrantDrained:
      return RaiseTerm(
        aRules, aLocation, record.grant_drained(), &OwnerView::drainedTerm_);
    case Body::kGrantReleased:
      return RaiseTerm(
        aRules, aLocation, record.grant_released(), &OwnerView::releasedTerm_);
    case Body::kDropped:
      return ProcessDropped(aRules, aLocation);
    default:
      return;
  }
}

} // namespace

void
CheckTrafficRules(RuleInput& aInput)
{
  TrafficRules rules{ aInput, {}, {} };
  for (const ClockGroup& clock : aInput.clocks_) {
    for (const RecordLocation& location : clock.records_) {
      CheckRecord(rules, location);
    }
  }
}

} // namespace wigeonlb::core::trace::internal
