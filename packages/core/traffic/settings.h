#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

#include "foundation/clock.h"

namespace wigeonlb::core::traffic {

using namespace std::chrono_literals;

//! Safety rules. Tests switch off individual rules to show that each is needed;
//! outside tests all of them are always on.
struct Guards
{
  //! Statements are sent to the primary only under a valid grant.
  bool grantAtDispatch_ = true;
  //! Responses from the primary are accepted only under a valid grant.
  bool grantAtAcknowledgement_ = true;
  //! Writes are acknowledged only after a majority has synced them.
  bool majorityBeforeAcknowledgement_ = true;
  //! A position is compared with the term that wrote it, not with the term that
  //! the target has adopted.
  bool writtenTerm_ = true;
  //! A read's response is accepted only if the status probe sent along with the
  //! read satisfies it.
  bool probeWithRead_ = true;
  //! Reports of another incarnation of a target's data are not used.
  bool incarnation_ = true;
  //! A statement that may have run is sent again only if it is a read or marked
  //! as repeatable.
  bool singleDispatch_ = true;
  bool shareLimit_ = true;
  bool slotLimit_ = true;
  //! A connection is not reused after a cancel request for it.
  bool closeAfterCancel_ = true;
  //! Writes are rejected while replication lag is too long for their deadline.
  bool refuseWhenLagging_ = true;
  //! Requests that would miss their deadline are rejected early.
  bool shedding_ = true;
  bool retryBudget_ = true;
  //! Before a COMMIT, the target is queried whether the transaction has
  //! written.
  bool detectHiddenWrites_ = true;
  //! A statement runs only in the transaction that its entry host names.
  bool matchTransactions_ = true;
  //! Targets are requested to terminate abandoned sessions.
  bool terminateSessions_ = true;
  //! Sessions of former holders are terminated only under a valid grant.
  bool terminateOnlyUnderGrant_ = true;
};

//! Limits of one group's traffic at an owner. Settings with a corresponding
//! group option are overridden by it once the group's state is known.
struct Settings
{
  Guards guards_;
  std::uint64_t seed_ = 1;
  //! Connections to each target while no grant is held. They serve reads in a
  //! data centre that is cut off from the control leader.
  std::uint32_t shareWithoutGrant_ = 2;
  //! Maximum number of queued requests; option `queue`.
  std::size_t queueLimit_ = 4096;
  //! Maximum number of concurrent statements on one target, over all owners;
  //! option `concurrency`.
  std::uint32_t concurrency_ = std::numeric_limits<std::uint32_t>::max();
  foundation::Duration idleProbeInterval_ = 250ms;
  foundation::Duration activeProbeInterval_ = 400us;
  //! A status query without a response for this long makes its connection
  //! count as unresponsive, if the target has responded on another connection
  //! since the query was sent.
  foundation::Duration responseTimeout_ = 1s;
  //! The same if the target has not responded on any other connection; also the
  //! limit for a write while the target responds on other connections.
  foundation::Duration maxResponseTimeout_ = 3s;
  //! A status probe without a response for this long marks its target as
  //! unreachable, and the probe connection is reopened; option `suspect_after`.
  foundation::Duration probeTimeout_ = 500ms;
  //! Minimum interval between two requests to a target to terminate the
  //! sessions of the same former holders.
  foundation::Duration terminationInterval_ = 500ms;
  //! An idle connection is checked when nothing was received on it for this
  //! long.
  foundation::Duration idleCheckInterval_ = 2s;
  //! An open transaction without a statement for this long is rolled back;
  //! option `idle_transaction`.
  foundation::Duration idleTransaction_ = 30s;
  //! The same limit while other requests wait for a slot of the target; option
  //! `idle_transaction_contended`.
  foundation::Duration idleTransactionContended_ = 2s;
  //! Writes are acknowledged only after a majority has synced them; option
  //! `acknowledge`.
  bool majorityAcknowledges_ = true;
  //! Writes are acknowledged by the primary once one replica has received
  //! them; option `acknowledge`.
  bool oneReplicaAcknowledges_ = false;
  //! Requests may have request keys; option `request_keys`.
  bool requestKeys_ = false;
  foundation::Duration openTimeout_ = 1s;
  //! Time limit for reading a discarded response to its end; the connection is
  //! closed after it.
  foundation::Duration discardTimeout_ = 250ms;
  //! Time limit for statements in flight when a term is revoked.
  foundation::Duration revokeDrain_ = 150ms;
  //! Maximum wait of a read for a replica that is about to reach the read's
  //! floor (minimum log position).
  foundation::Duration maxFloorWait_ = 100ms;
  //! A read prefers a replica over the primary if the wait for the replica is
  //! at most this much longer.
  foundation::Duration primaryReadPenalty_ = 80ms;
  //! Retry budget: permitted retries as a fraction of recent successes.
  double retryShare_ = 0.1;
  //! Maximum number of times that a statement is sent to a target.
  std::uint32_t maxAttempts_ = 4;
  //! Number of samples of the primary's position that are kept.
  std::size_t sampleLimit_ = 512;
};

} // namespace wigeonlb::core::traffic
