#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/traffic/actions.h"
#include "core/traffic/events.h"
#include "core/traffic/settings.h"

namespace wigeonlb::core::traffic {

namespace internal {
struct Group;
}

//! Monotonic counters since the start.
struct TrafficCounters
{
  std::uint64_t arrived_ = 0;
  std::uint64_t done_ = 0;
  std::uint64_t notRun_ = 0;
  std::uint64_t unknown_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t readsByReplica_ = 0;
  std::uint64_t readsByPrimary_ = 0;
  std::uint64_t answersDropped_ = 0;
  std::uint64_t statementRetries_ = 0;
  std::uint64_t floorWaits_ = 0;
  std::uint64_t shed_ = 0;
  std::uint64_t probesSent_ = 0;
  std::uint64_t connectionsOpened_ = 0;
  std::uint64_t unresponsiveConnections_ = 0;
  //! Requests to targets to terminate one session, or all sessions of one
  //! former holder.
  std::uint64_t terminationRequests_ = 0;
  std::uint64_t ejections_ = 0;
  //! Open transactions that were rolled back because their entry host had given
  //! them up.
  std::uint64_t transactionsGivenUp_ = 0;
};

//! One group's traffic at an owner. Not thread-safe; movable, not copyable.
struct TrafficState
{
  explicit TrafficState(const Settings& aSettings = {});
  TrafficState(TrafficState&&) noexcept;
  TrafficState& operator=(TrafficState&&) noexcept;
  ~TrafficState();

  TrafficCounters counters_;
  std::unique_ptr<internal::Group> group_;
};

//! Processes one event and appends the resulting actions, in the order in which
//! the driver must execute them.
//! NOTE Events for closed ids and late responses are ignored.
void
Step(TrafficState& aState,
     const TrafficEvent& aEvent,
     Instant aNow,
     std::vector<TrafficAction>& aActions);

//! Latest time at which the next Tick is due; Instant::max() when no work is
//! scheduled.
Instant
NextWake(const TrafficState& aState);

//! The latest report of each target, for the heartbeat. `age_us` is filled in.
//! A target that refuses connections or does not respond is not `reachable`.
//! Targets without any probe result yet are omitted.
std::vector<wire::TargetReport>
CollectReports(const TrafficState& aState, Instant aNow);

//! How one target was considered in the choice for a read.
struct ReadChoice
{
  TargetName target_;
  bool eligible_ = false;
  std::string reason_;
  LogPosition applied_;
  //! Upper bound of the staleness of its data; empty when no sample of the
  //! primary's position covers it.
  std::optional<Duration> age_;
};

//! For each target, whether a read with this floor (and staleness bound) could
//! be sent to it now, and the reason.
std::vector<ReadChoice>
ExplainRead(const TrafficState& aState,
            const LogPosition& aFloor,
            std::optional<Duration> aMaxAge,
            Instant aNow);

//! Current queue lengths and connection counts over all targets, for `show` and
//! the metrics.
struct TrafficGauges
{
  std::size_t queued_ = 0;
  std::size_t waitingForFloor_ = 0;
  std::size_t waitingForMajority_ = 0;
  std::size_t openTransactions_ = 0;
  std::size_t connections_ = 0;
  std::size_t busyConnections_ = 0;
  //! Maximum over all targets of the number of connections that the target has
  //! or may get under the current share.
  std::uint32_t maxConnectionsPerTarget_ = 0;
};

TrafficGauges
CollectGauges(const TrafficState& aState);

//! State on which an owner bases its decision about a request; for the log.
struct GroupStatus
{
  std::optional<std::uint64_t> grantTerm_; //!< empty without a grant
  Duration leaseRemaining_{ 0 };
  std::size_t queued_ = 0;
  std::size_t queuedForPrimary_ = 0; //!< of queued_
  std::size_t openTransactions_ = 0;
  //! Newest known position of the primary; term 0 when none is known.
  LogPosition newest_;
  std::optional<Duration> newestAge_;
};

GroupStatus
GetGroupStatus(const TrafficState& aState, Instant aNow);

//! A session's transaction, as its owner knows it; for the log.
struct SessionTransaction
{
  std::uint64_t transaction_ = 0; //!< number of the request that began it
  ConnectionId connection_ = 0;   //!< 0: it was aborted with its connection
  TargetName target_;
  Duration age_{ 0 };  //!< since its first statement was sent
  Duration idle_{ 0 }; //!< since its last statement; zero while one runs
};

//! Returns the open or aborted transaction of a session; empty without one.
std::optional<SessionTransaction>
FindTransaction(const TrafficState& aState, SessionId aSession, Instant aNow);

} // namespace wigeonlb::core::traffic
