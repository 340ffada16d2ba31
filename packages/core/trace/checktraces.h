#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/trace/tracefile.h"
#include "foundation/clock.h"

namespace wigeonlb::core::trace {

//! Time after which a target that takes no work any more gets none: statements
//! that were on their way to it when the owner learned so.
constexpr foundation::Duration kDrainGracePeriodMs =
  std::chrono::milliseconds(3000);

//! Names of the rules, as in findings and in the headers of trace files.
namespace rule {
//! Two members applied different records at one index.
constexpr std::string_view kOneLog = "one-log";
//! Two members led in one term of the replicated log.
constexpr std::string_view kOneLeader = "one-leader";
//! A term of a group has two primaries.
constexpr std::string_view kOnePrimary = "one-primary";
//! A grant was issued of a term that was fenced, or not in force.
constexpr std::string_view kGrantAfterFence = "grant-after-fence";
//! The revision in force on a host went back.
constexpr std::string_view kRevisionBack = "revision-back";
//! A write was acknowledged without a majority synced in its term.
constexpr std::string_view kNoMajority = "acknowledged-without-majority";
//! A write was acknowledged while no grant of its term was held.
constexpr std::string_view kNoGrant = "acknowledged-without-grant";
//! A write was acknowledged after a later primary was chosen.
constexpr std::string_view kAfterChoice = "acknowledged-after-choice";
//! A primary was confirmed whose log lacks an acknowledged write.
constexpr std::string_view kLostWrite = "lost-write";
//! A request that is unsafe to repeat was handed over twice.
constexpr std::string_view kHandedOverTwice = "handed-over-twice";
//! A request that was refused as not run had been handed over.
constexpr std::string_view kNotRun = "not-run-was-handed-over";
//! A request was finished twice.
constexpr std::string_view kFinishedTwice = "finished-twice";
//! A read was answered from before the session's floor.
constexpr std::string_view kBelowFloor = "read-below-floor";
//! A read was answered from before a write that its session had acknowledged.
constexpr std::string_view kOwnWrite = "read-misses-own-write";
//! A target that leaves got new work.
constexpr std::string_view kDrainedTarget = "drained-target-got-work";
//! A statement went to a connection inside another session's transaction.
constexpr std::string_view kMixedTransactions = "mixed-transactions";
//! A decision came out differently when it was repeated.
constexpr std::string_view kReplayDiffers = "replay-differs";
} // namespace rule

//! One rule that a record breaks.
struct TraceFinding
{
  std::string rule_;
  std::size_t trace_ = 0;    //!< index of the trace
  std::uint64_t number_ = 0; //!< of the record, which is its line in the file
  std::string text_;
};

//! Checks the invariants over the traces of one system, which may be of several
//! hosts and boots. Findings are ordered by trace, then by record.
//! NOTE Only what was recorded is checked. After a record that tells of lost
//! ones, whatever they may have changed counts as unknown.
std::vector<TraceFinding>
CheckTraces(std::span<const Trace> aTraces);

} // namespace wigeonlb::core::trace
