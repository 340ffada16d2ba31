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

//! Time for which statements may still be sent to a target after the owner was
//! notified that the target accepts no new work. It covers statements that were
//! already in flight.
constexpr foundation::Duration kDrainGracePeriodMs =
  std::chrono::milliseconds(3000);

//! Names of the rules, as they appear in findings and in the headers of trace
//! files.
namespace rule {
//! Two control members applied different records at the same log index.
constexpr std::string_view kOneLog = "one-log";
//! Two control members were leader in the same term of the replicated log.
constexpr std::string_view kOneLeader = "one-leader";
//! A group has two primaries in the same term.
constexpr std::string_view kOnePrimary = "one-primary";
//! A grant was issued for a term that was fenced or not in force.
constexpr std::string_view kGrantAfterFence = "grant-after-fence";
//! The configuration revision in force on a host decreased.
constexpr std::string_view kRevisionBack = "revision-back";
//! A write was acknowledged before a majority was known to have synced it in
//! its term.
constexpr std::string_view kNoMajority = "acknowledged-without-majority";
//! A write was acknowledged while no grant for its term was held.
constexpr std::string_view kNoGrant = "acknowledged-without-grant";
//! A write was acknowledged after a later primary was chosen.
constexpr std::string_view kAfterChoice = "acknowledged-after-choice";
//! A primary was confirmed whose log lacks an acknowledged write.
constexpr std::string_view kLostWrite = "lost-write";
//! A request that is unsafe to repeat was sent to a target twice.
constexpr std::string_view kHandedOverTwice = "handed-over-twice";
//! A request that was reported as not run had been sent to a target.
constexpr std::string_view kNotRun = "not-run-was-handed-over";
//! A request was finished twice.
constexpr std::string_view kFinishedTwice = "finished-twice";
//! A read was answered at a position below the session's floor, which is the
//! minimum log position that the session's reads must see.
constexpr std::string_view kBelowFloor = "read-below-floor";
//! A read was answered at a position before an acknowledged write of its
//! session.
constexpr std::string_view kOwnWrite = "read-misses-own-write";
//! New work was sent to a target that accepts none, such as one being drained.
constexpr std::string_view kDrainedTarget = "drained-target-got-work";
//! A statement was sent on a connection that is in another session's
//! transaction.
constexpr std::string_view kMixedTransactions = "mixed-transactions";
//! The replay of a decision gave another result than the recorded one.
constexpr std::string_view kReplayDiffers = "replay-differs";
} // namespace rule

//! A violation of a rule by one record.
struct TraceFinding
{
  std::string rule_;
  std::size_t trace_ = 0;    //!< index of the trace
  std::uint64_t number_ = 0; //!< record number, which is its line in the file
  std::string text_;
};

//! Checks the invariants over the traces of one system, which may come from
//! several hosts and boots. Findings are ordered by trace, then by record.
//! NOTE Only recorded events are checked. After a record that reports dropped
//! records, any state that they may have changed is treated as unknown.
std::vector<TraceFinding>
CheckTraces(std::span<const Trace> aTraces);

} // namespace wigeonlb::core::trace
