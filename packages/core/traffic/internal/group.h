#pragma once

#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include <boost/intrusive/list.hpp>
#include <boost/intrusive/set.hpp>

#include "core/admission/fairqueue.h"
#include "core/admission/servicetime.h"
#include "core/pool/targetpool.h"
#include "core/retry/retrybudget.h"
#include "core/routing/replicationprogress.h"
#include "core/routing/samplewindow.h"
#include "core/routing/targetchoice.h"
#include "core/routing/targethealth.h"
#include "core/traffic/actions.h"
#include "core/traffic/events.h"
#include "core/traffic/settings.h"

namespace wigeonlb::core::traffic::internal {

namespace intrusive = boost::intrusive;
using AutoUnlink = intrusive::link_mode<intrusive::auto_unlink>;

struct Target;

//! Where a request stands.
enum class Phase
{
  //! Waits for a position of the primary read after its arrival.
  FreshFloor,
  //! Waits for a replica that is about to reach the floor.
  ReplicaWait,
  //! In one of the queues.
  Queued,
  //! In an open transaction, waiting for a slot.
  TransactionWait,
  //! Handed over.
  Running,
  //! Done at the target; the position of its commit is being read.
  ReadingPosition,
  //! Waits until a majority has synced its commit.
  Majority,
};

//! One statement, from its arrival to its Finish.
struct Request : admission::QueueItem
{
  RequestId id_;
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  LogPosition floor_;
  bool freshFloor_ = false;
  std::optional<Duration> maxAge_;
  bool repeatable_ = false;
  bool keyed_ = false;
  //! The target knows its request key from an earlier run.
  bool alreadyDone_ = false;
  foundation::DataCentre dataCentre_;
  Instant arrivedAt_;
  std::optional<Instant> latencyObjectiveAt_;

  Phase phase_ = Phase::Queued;
  //! The queue that it is in, while Queued.
  admission::FairQueue* queue_ = nullptr;
  //! Hand-overs that aren't proved to have run nothing.
  std::uint32_t possibleRuns_ = 0;
  bool mustBePrimary_ = false;
  //! Its rows go on to the caller, or may have done so.
  bool accepted_ = false;
  bool inTransaction_ = false;
  std::uint32_t attempts_ = 0;
  //! The last target that failed it; avoided while there is another.
  TargetName avoid_;
  //! Term of the grant at the last hand-over to the primary; 0 at a replica.
  std::uint64_t term_ = 0;
  ConnectionId connection_ = 0;
  //! In the phase ReplicaWait: decided again at the latest then.
  Instant waitUntil_;
  LogPosition commit_;
  TargetName servedBy_;

  //! In one of the waiting lists.
  intrusive::list_member_hook<AutoUnlink> waitHook_;
  //! Among all live requests.
  intrusive::set_member_hook<AutoUnlink> liveHook_;
};

using WaitList = intrusive::list<
  Request,
  intrusive::member_hook<Request,
                         intrusive::list_member_hook<AutoUnlink>,
                         &Request::waitHook_>,
  intrusive::constant_time_size<false>>;

struct ByRequestDeadline
{
  using type = Instant;
  const type& operator()(const Request& aRequest) const
  {
    return aRequest.deadline_;
  }
};

using LiveOrder = intrusive::multiset<
  Request,
  intrusive::key_of_value<ByRequestDeadline>,
  intrusive::member_hook<Request,
                         intrusive::set_member_hook<AutoUnlink>,
                         &Request::liveHook_>,
  intrusive::constant_time_size<false>>;

//! What is known of a session here; forgotten when nothing is open.
struct Session
{
  SessionId id_ = 0;
  std::unique_ptr<Request> current_;
  //! The connection of its open transaction; 0 outside of one.
  ConnectionId pinned_ = 0;
  std::uint64_t term_ = 0;
  //! The transaction may have written.
  bool wrote_ = false;
  //! The target says that the transaction has failed ('E').
  bool failed_ = false;
  //! The transaction was rolled back with its connection; the session's next
  //! statements are refused until it ends the transaction.
  bool aborted_ = false;
  //! The caller was answered with an error since.
  bool errorReported_ = false;
  //! It was rolled back for idleness, which the caller is told once.
  bool timedOut_ = false;
  //! Since when the open transaction has held its slot.
  Instant transactionBeganAt_;
};

//! What runs on a busy connection.
enum class Use
{
  None,
  Statement,
  //! A statement whose answer nobody waits for.
  Dropped,
  CommitPosition,
  //! A check of a connection that was idle for long.
  Check,
};

struct Connection : pool::PooledConnection
{
  Target* target_ = nullptr;
  BackendId backend_ = 0;
  Use use_ = Use::None;
  //! Session whose statement or transaction it carries; 0 for none.
  SessionId session_ = 0;
  //! The primary's newest known position when its position was asked for.
  LogPosition newestKnown_;
  //! Floor that went with its statement.
  LogPosition floor_;
  bool withProbe_ = false;
  bool probeSeen_ = false;
  bool cancelSent_ = false;
};

//! The owner's status probes of one target.
struct Probe
{
  std::uint64_t sequence_ = 0;
  bool inFlight_ = false;
  Instant sentAt_;
  //! The last one failed or stayed without an answer.
  bool failed_ = false;
  //! When the first one that stayed without an answer was sent.
  std::optional<Instant> unansweredSince_;
  BackendId backend_ = 0; //!< of the probe connection, as last answered
};

//! What may have been left at a target by connections that are gone.
struct AbandonedSessions
{
  //! This owner's own, oldest first; kept until a probe that carried them was
  //! answered.
  std::deque<BackendId> backends_;
  std::size_t inFlightCount_ =
    0; //!< so many of them went with the probe in flight
  //! When the ended holders' sessions are to be ended next.
  Instant holdersDueAt_;
};

struct Target
{
  wire::TargetState state_;
  //! Announced and not leaving.
  bool usable_ = false;
  pool::TargetPool pool_;
  routing::TargetHealth health_;
  std::optional<wire::TargetReport> report_;
  Instant reportAt_;
  //! Something came from it on any connection.
  Instant lastReceivedAt_;
  routing::ReplicationProgress synced_;
  routing::ReplicationProgress applied_;
  //! It refused a read as behind: until then, reads of that floor and above go
  //! elsewhere.
  LogPosition refusedFloor_;
  Instant refusedUntil_;
  Probe probe_;
  AbandonedSessions abandoned_;
  //! A probe connection was silent while a new one works: those that nothing
  //! came on since `suspectCutoff_` are likely silent too.
  Instant suspectCutoff_;
  Instant suspectedAt_;
  Duration openBackoff_{ 0 };
  Instant openAt_;
};

//! A revoked term that still has work in flight.
struct DrainingTerm
{
  std::uint64_t term_ = 0;
  Instant drainEnd_;
};

//! One group at an owner.
struct Group
{
  Settings settings_;
  wire::GroupState state_;
  bool known_ = false;
  std::uint32_t owners_ = 1;
  //! NOTE Owners stand before what only links to them and is destroyed first.
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::unordered_map<SessionId, Session> sessions_;
  std::map<TargetName, std::unique_ptr<Target>> targets_;
  std::optional<HeldGrant> grant_;
  Instant grantEndedAt_{}; //!< of the last one
  //! Of the grant; without one, no more than before and than the settings say.
  std::uint32_t share_ = 0;
  std::optional<DrainingTerm> drainingTerm_;
  //! Grants up to this term are void, however late they come.
  std::uint64_t revokedTerm_ = 0;

  ConnectionId nextConnection_ = 1;

  LiveOrder live_;
  WaitList freshWaiters_;
  WaitList replicaWaiters_;
  WaitList transactionWaiters_;
  WaitList majorityWaiters_;
  //! For the primary only, and for any eligible replica.
  admission::FairQueue primaryQueue_;
  admission::FairQueue readQueue_;
  admission::ServiceTime primaryService_;
  admission::ServiceTime readService_;

  routing::SampleWindow samples_;
  retry::RetryBudget retries_;
  routing::Generator generator_;
  //! Rises when a position, a grant or the group changed: reads that wait are
  //! then decided again.
  std::uint64_t version_ = 1;
  std::uint64_t decidedVersion_ = 0;
};

} // namespace wigeonlb::core::traffic::internal
