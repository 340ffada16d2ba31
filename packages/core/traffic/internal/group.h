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
#include "core/traffic/internal/termwrites.h"
#include "core/traffic/settings.h"

namespace wigeonlb::core::traffic::internal {

namespace intrusive = boost::intrusive;
using AutoUnlink = intrusive::link_mode<intrusive::auto_unlink>;

struct Target;

//! Progress of a request.
enum class Phase
{
  //! Waits for a position of the primary that is read after its arrival.
  FreshFloor,
  //! Waits for a replica that is about to reach the floor.
  ReplicaWait,
  //! In one of the queues.
  Queued,
  //! In an open transaction, to be sent by the next dispatch.
  TransactionWait,
  //! Sent to a target.
  Running,
  //! Completed by the target; the position of its commit is being read.
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
  bool needsFreshFloor_ = false;
  std::optional<Duration> maxAge_;
  bool repeatable_ = false;
  bool keyed_ = false;
  //! The target had stored its request key in an earlier run.
  bool alreadyDone_ = false;
  foundation::DataCentre dataCentre_;
  Instant arrivedAt_;
  std::optional<Instant> latencyObjectiveAt_;

  Phase phase_ = Phase::Queued;
  //! The queue that contains it while Queued.
  admission::FairQueue* queue_ = nullptr;
  //! Number of times that it was sent to a target and may have run there.
  std::uint32_t possibleRuns_ = 0;
  bool mustBePrimary_ = false;
  //! Its rows are forwarded to the caller, or may have been.
  bool accepted_ = false;
  bool inTransaction_ = false;
  std::uint32_t attempts_ = 0;
  //! The last target that failed to run it; avoided while another is eligible.
  TargetName avoid_;
  //! Term of the grant when it was last sent to the primary; 0 for a replica.
  std::uint64_t term_ = 0;
  ConnectionId connection_ = 0;
  //! In the phase ReplicaWait: latest time at which it is routed again.
  Instant waitUntil_;
  LogPosition commit_;
  //! While it is a write in flight: its number in TermWrites, that term, and
  //! the newest known position of the primary when it was sent. 0: it is none.
  std::uint64_t write_ = 0;
  std::uint64_t writeTerm_ = 0;
  LogPosition knownBefore_;
  TargetName servedBy_;

  //! Link in one of the waiting lists.
  intrusive::list_member_hook<AutoUnlink> waitHook_;
  //! Link in Group::live_.
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

//! A caller's session; removed when it has neither a request nor a transaction.
struct Session
{
  SessionId id_ = 0;
  std::unique_ptr<Request> current_;
  //! The connection of its open transaction; 0 without one.
  ConnectionId pinned_ = 0;
  //! Number of the request that began the open or aborted transaction; 0 if it
  //! is not known. Without such a transaction it has no meaning.
  std::uint64_t transaction_ = 0;
  std::uint64_t term_ = 0;
  //! The transaction may have written.
  bool wrote_ = false;
  //! The target reported the transaction as failed ('E').
  bool failed_ = false;
  //! The transaction was rolled back with its connection. Further statements of
  //! the session are rejected until it ends the transaction.
  bool aborted_ = false;
  //! The caller has received an error since the transaction was aborted.
  bool errorReported_ = false;
  //! The transaction was rolled back because it was idle too long. This is
  //! reported to the caller once.
  bool timedOut_ = false;
  //! When the first statement of the open transaction was sent and its slot was
  //! acquired.
  Instant transactionBeganAt_;
};

//! What a busy connection is used for.
enum class Use
{
  None,
  Statement,
  //! A statement whose response is discarded.
  Dropped,
  CommitPosition,
  //! A check of a connection that has been idle for long.
  Check,
};

struct Connection : pool::PooledConnection
{
  Target* target_ = nullptr;
  //! Value of Group::byOrganisation_ when it was opened.
  bool byOrganisation_ = false;
  BackendId backend_ = 0;
  Use use_ = Use::None;
  //! Session whose statement or transaction it carries; 0 for none.
  SessionId session_ = 0;
  //! Newest known position of the primary when the current statement or
  //! position query was sent. A later position must not be before it.
  LogPosition newestKnown_;
  //! Floor that was sent with its statement.
  LogPosition floor_;
  bool withProbe_ = false;
  bool probeAnswered_ = false;
  bool cancelSent_ = false;
};

//! State of the owner's status probes of one target.
struct Probe
{
  std::uint64_t sequence_ = 0;
  bool inFlight_ = false;
  Instant sentAt_;
  //! The last probe failed or timed out.
  bool failed_ = false;
  //! When the first of the latest consecutive unanswered probes was sent.
  std::optional<Instant> unansweredSince_;
  //! Session behind the probe connection, as of the last response.
  BackendId backend_ = 0;
};

//! Database sessions that may remain at a target after their connections were
//! closed.
struct AbandonedSessions
{
  //! This owner's own sessions, oldest first. Each is kept until a probe that
  //! requested its termination is answered.
  std::deque<BackendId> backends_;
  //! How many of backends_ were sent with the probe in flight.
  std::size_t inFlightCount_ = 0;
  //! When the termination of former holders' sessions is requested next.
  Instant holdersDueAt_;
};

struct Target
{
  wire::TargetState state_;
  //! The target is announced and is not leaving.
  bool usable_ = false;
  pool::TargetPool pool_;
  routing::TargetHealth health_;
  std::optional<wire::TargetReport> report_;
  Instant reportAt_;
  //! When something was last received from it on any connection.
  Instant lastReceivedAt_;
  routing::ReplicationProgress synced_;
  routing::ReplicationProgress applied_;
  //! After it has rejected a read with Refusal::Behind, reads with this floor
  //! or a higher one are sent to other targets until refusedUntil_.
  LogPosition refusedFloor_;
  Instant refusedUntil_;
  Probe probe_;
  AbandonedSessions abandoned_;
  //! A probe connection was unresponsive while a new one works. Connections on
  //! which nothing has been received since suspectCutoff_ are then probably
  //! unresponsive too; this was detected at suspectedAt_.
  Instant suspectCutoff_;
  Instant suspectedAt_;
  Duration openBackoff_{ 0 };
  //! After a failure, when the next connection may be opened; Instant() if
  //! nothing is delayed.
  Instant openAt_;
};

//! A revoked or no longer renewed term with statements in flight.
struct DrainingTerm
{
  foundation::TermEpoch term_;
  Instant drainEnd_;
};

//! State of one group at an owner.
struct Group
{
  Settings settings_;
  wire::GroupState state_;
  std::uint32_t owners_ = 1;
  //! A connection carries the statements of one organisation only.
  bool byOrganisation_ = false;
  //! NOTE These containers own the objects that the queues and lists below link
  //! to. They must be declared before them, so that they are destroyed last.
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::unordered_map<SessionId, Session> sessions_;
  std::map<TargetName, std::unique_ptr<Target>> targets_;
  std::optional<HeldGrant> grant_;
  Instant grantEndedAt_{}; //!< end of the last grant
  //! Maximum number of connections per target: the grant's share. Without a
  //! grant, the smaller of the previous value and Settings::shareWithoutGrant_.
  std::uint32_t share_ = 0;
  std::optional<DrainingTerm> drainingTerm_;
  //! Grants for this term and earlier ones are void, even if received later.
  foundation::TermEpoch revokedTerm_;

  ConnectionId nextConnection_ = 1;

  LiveOrder live_;
  WaitList freshWaiters_;
  WaitList replicaWaiters_;
  WaitList transactionWaiters_;
  WaitList majorityWaiters_;
  //! Requests for the primary only.
  admission::FairQueue primaryQueue_;
  //! Reads for any eligible replica.
  admission::FairQueue readQueue_;
  admission::ServiceTime primaryService_;
  admission::ServiceTime readService_;

  TermWrites writes_;
  routing::SampleWindow samples_;
  retry::RetryBudget retries_;
  routing::Generator generator_;
  //! Incremented when a position, the grant or the group changes, so that
  //! waiting reads are routed again.
  std::uint64_t version_ = 1;
  //! Value of version_ when the waiting reads were last routed.
  std::uint64_t decidedVersion_ = 0;
};

} // namespace wigeonlb::core::traffic::internal
