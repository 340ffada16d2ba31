#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

#include "foundation/clock.h"

namespace wigeonlb::core::traffic {

using namespace std::chrono_literals;

//! The safety rules, each of which a test can switch off to show that it is
//! needed. Always all on outside tests.
struct Guards
{
  bool grantAtDispatch_ = true;
  bool grantAtAcknowledgement_ = true;
  bool majorityBeforeAcknowledgement_ = true;
  bool writtenTerm_ = true;
  bool probeWithRead_ = true;
  bool incarnation_ = true;
  bool singleDispatch_ = true;
  bool shareLimit_ = true;
  bool slotLimit_ = true;
  bool closeAfterCancel_ = true;
  bool refuseWhenLagging_ = true;
  bool shedding_ = true;
  bool retryBudget_ = true;
  bool detectHiddenWrites_ = true;
  bool terminateSessions_ = true;
  bool terminateOnlyUnderGrant_ = true;
};

//! Limits of one group's traffic at an owner. The group's options take the
//! place of those that have one, once the group is known.
struct Settings
{
  Guards guards_;
  std::uint64_t seed_ = 1;
  //! Connections to each target while no grant is held; for reads that go on
  //! in a data centre that was cut off.
  std::uint32_t shareWithoutGrant_ = 2;
  //! Requests that wait or run; option `queue`.
  std::size_t queueLimit_ = 4096;
  //! Statements at once on one target, for all owners; option `concurrency`.
  std::uint32_t concurrency_ = std::numeric_limits<std::uint32_t>::max();
  foundation::Duration idleProbeInterval_ = 250ms;
  foundation::Duration activeProbeInterval_ = 400us;
  //! A probe or statement without an answer for this long is silent when
  //! something else was heard from the target meanwhile.
  foundation::Duration responseTimeout_ = 1s;
  //! A connection is given up as silent after this long in any case.
  foundation::Duration maxResponseTimeout_ = 3s;
  //! A status probe without an answer for this long makes its target count as
  //! unreachable and its probe connection be opened anew; option
  //! `suspect_after`.
  foundation::Duration probeTimeout_ = 500ms;
  //! Between two orders to a target to end what the same holders left there.
  foundation::Duration terminationInterval_ = 500ms;
  //! Idle connections are checked when nothing came on them for this long.
  foundation::Duration idleCheck_ = 2s;
  //! An open transaction without a statement for this long is rolled back;
  //! option `idle_transaction`.
  foundation::Duration idleTransaction_ = 30s;
  //! The same while others wait for the server's slots; option
  //! `idle_transaction_contended`.
  foundation::Duration idleTransactionContended_ = 2s;
  //! Writes wait until a majority has them; option `acknowledge`.
  bool majorityAcknowledges_ = true;
  //! Requests may have keys; set by the group's option.
  bool requestKeys_ = false;
  foundation::Duration openTimeout_ = 1s;
  //! Time for reading a dropped answer to its end; then the connection closes.
  foundation::Duration discardTimeout_ = 250ms;
  //! Time for what is in flight when a term is revoked.
  foundation::Duration revokeDrain_ = 150ms;
  //! Longest wait for a replica that is about to reach a read's floor.
  foundation::Duration maxFloorWait_ = 100ms;
  //! A read waits this much longer for a replica than for the primary.
  foundation::Duration primaryReadPenalty_ = 80ms;
  //! Share of recent successes that may be spent on handing over again.
  double retryShare_ = 0.1;
  std::uint32_t readAttempts_ = 4;
  std::size_t sampleLimit_ = 512;
};

} // namespace wigeonlb::core::traffic
