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

//! What happened so far; only ever rises.
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
  //! Orders to targets to end one session, or what one holder left.
  std::uint64_t terminationRequests_ = 0;
  std::uint64_t ejections_ = 0;
};

//! One group's traffic at an owner. Not thread safe; moves, but isn't copied.
struct TrafficState
{
  explicit TrafficState(const Settings& aSettings = {});
  TrafficState(TrafficState&&) noexcept;
  TrafficState& operator=(TrafficState&&) noexcept;
  ~TrafficState();

  TrafficCounters counters_;
  std::unique_ptr<internal::Group> group_;
};

//! Takes one event in and appends what is to be done, in order.
//! NOTE Events of ids that are closed, and answers that are late, are ignored.
void
Step(TrafficState& aState,
     const TrafficEvent& aEvent,
     Instant aNow,
     std::vector<TrafficAction>& aActions);

//! When the next Tick is due at the latest; Instant::max() when nothing waits.
Instant
NextWake(const TrafficState& aState);

//! What this owner last saw of each target, for the heartbeat. `age_us` is
//! filled in; a target that refuses or is silent is not `reachable`.
std::vector<wire::TargetReport>
CollectReports(const TrafficState& aState, Instant aNow);

//! One target's place in the choice for a read.
struct ReadChoice
{
  TargetName target_;
  bool eligible_ = false;
  std::string reason_;
  LogPosition applied_;
  //! How old its data can be at most; empty when no sample covers it.
  std::optional<Duration> age_;
};

//! Says for each target whether a read with this floor (and age) could go to
//! it now, and why.
std::vector<ReadChoice>
ExplainRead(const TrafficState& aState,
            const LogPosition& aFloor,
            std::optional<Duration> aMaxAge,
            Instant aNow);

//! Connections of all targets, for `show` and the gauges.
struct TrafficGauges
{
  std::size_t queued_ = 0;
  std::size_t waitingForFloor_ = 0;
  std::size_t waitingForMajority_ = 0;
  std::size_t openTransactions_ = 0;
  std::size_t connections_ = 0;
  std::size_t busyConnections_ = 0;
  //! Connections that one target has, or may get under the present share: the
  //! largest number over all targets.
  std::uint32_t maxConnectionsPerTarget_ = 0;
};

TrafficGauges
CollectGauges(const TrafficState& aState);

//! What an owner knows when it decides about a request; for the log.
struct GroupStatus
{
  std::optional<std::uint64_t> grantTerm_; //!< empty: it holds no grant
  Duration leaseRemaining_{ 0 };
  std::size_t queued_ = 0;
  LogPosition newest_; //!< position of the primary; term 0: none is known
  std::optional<Duration> newestAge_;
};

GroupStatus
GetGroupStatus(const TrafficState& aState, Instant aNow);

} // namespace wigeonlb::core::traffic
