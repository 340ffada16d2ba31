#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.pb.h"

namespace wigeonlb::core::failover {

//! One write in a target's log. A log offset is the number of writes before it.
struct LogEntry
{
  std::uint64_t term_ = 0;
  std::uint64_t id_ = 0;

  bool operator==(const LogEntry&) const = default;
};

//! What a target does that meets a primary of a later term while its own log
//! has gone another way.
enum class OnDivergence
{
  Refuse,
  Rewind,
  Keep, //!< adopts the term, keeps its tail, and follows and leads no more
};

//! A target with asynchronous replication: it adopts a primary's term before
//! the log has arrived, and syncs later than it receives.
struct SimulatedTarget
{
  std::string name_;
  std::string dataCentre_;
  std::vector<LogEntry> log_;
  std::size_t synced_ = 0;
  std::uint64_t adopted_ = 1;
  std::uint64_t incarnation_ = 1;
  bool primary_ = false;
  bool up_ = true;
  bool diverged_ = false; //!< by OnDivergence::Keep
  OnDivergence onDivergence_ = OnDivergence::Refuse;
  bool stepsDown_ = true; //!< a primary that meets a later term follows it
};

//! Status as a probe reads it, with the faults that guards are against:
//! aReportsReceived reports what was received as synced, without
//! aReportsDivergence a diverged target looks like one that follows.
wire::TargetReport
MakeReport(const SimulatedTarget& aTarget,
           bool aReportsReceived,
           bool aReportsDivergence);

//! Makes the target primary of the term. Returns false when it has gone on to a
//! later one, or has diverged.
bool
Promote(SimulatedTarget& aTarget, std::uint64_t aTerm);

//! Appends and syncs a write of a caller; returns the offset behind it.
std::uint64_t
Append(SimulatedTarget& aTarget, std::uint64_t aId);

//! One step of replication: adopts the term, or receives up to aCount writes,
//! and syncs what was received before.
void
Follow(SimulatedTarget& aReplica,
       const SimulatedTarget& aPrimary,
       std::size_t aCount);

//! Stops the process; what wasn't synced is lost.
void
Kill(SimulatedTarget& aTarget);

//! Starts again without data, as a new incarnation that follows.
void
RestartEmpty(SimulatedTarget& aTarget);

bool
Contains(const SimulatedTarget& aTarget, std::uint64_t aId);

} // namespace wigeonlb::core::failover
