#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "control.pb.h"

namespace wigeonlb::core::failover {

//! One write in a target's log. Its offset is the number of writes before it.
struct LogEntry
{
  std::uint64_t term_ = 0;
  std::uint64_t id_ = 0;

  bool operator==(const LogEntry&) const = default;
};

//! Behaviour of a target whose log has diverged from that of a primary of a
//! later term.
enum class OnDivergence
{
  Refuse,
  Rewind,
  Keep, //!< adopts the term and keeps its tail; no longer follows or leads
};

//! Simulated target with asynchronous replication: it adopts a primary's term
//! before it receives the log, and syncs later than it receives.
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
  bool diverged_ = false; //!< set by OnDivergence::Keep
  OnDivergence onDivergence_ = OnDivergence::Refuse;
  bool stepsDown_ = true; //!< as primary, follows a primary of a later term
};

//! Status as a probe reads it, with the faults that the guards protect against:
//! with aReportsReceived, the received log is reported as synced; without
//! aReportsDivergence, a diverged target looks like one that follows.
wire::TargetReport
MakeReport(const SimulatedTarget& aTarget,
           bool aReportsReceived,
           bool aReportsDivergence);

//! Makes the target primary of the term. Returns false when it has adopted a
//! later term, follows this one, or has diverged.
bool
Promote(SimulatedTarget& aTarget, std::uint64_t aTerm);

//! Appends and syncs a write of a caller. Returns the offset after it.
std::uint64_t
Append(SimulatedTarget& aTarget, std::uint64_t aId);

//! One step of replication: adopts the term, or receives up to aCount writes
//! and syncs those received before.
void
Follow(SimulatedTarget& aReplica,
       const SimulatedTarget& aPrimary,
       std::size_t aCount);

//! Stops the process; writes that were not synced are lost.
void
Kill(SimulatedTarget& aTarget);

//! Starts the target without its data, as a new incarnation and a replica.
void
RestartEmpty(SimulatedTarget& aTarget);

bool
Contains(const SimulatedTarget& aTarget, std::uint64_t aId);

} // namespace wigeonlb::core::failover
