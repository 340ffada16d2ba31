#include "core/trace/tests/guardfailures.h"

#include "core/trace/checktraces.h"

namespace wigeonlb::core::trace::tests {

using failover::SimulationSettings;
using traffic::Guards;

std::span<const SimulationFailure>
SimulationFailures()
{
  static const std::vector<SimulationFailure> kRows{
    { "wait-for-releases",
      7,
      rule::kAfterChoice,
      [](SimulationSettings& aSettings) {
        aSettings.guards_.waitForReleases_ = false;
      } },
    { "read-after-release",
      14,
      rule::kLostWrite,
      [](SimulationSettings& aSettings) {
        aSettings.guards_.readAfterRelease_ = false;
      } },
    { "written-term",
      204,
      rule::kLostWrite,
      [](SimulationSettings& aSettings) {
        aSettings.guards_.writtenTerm_ = false;
      } },
    { "rebuilt-is-new",
      203,
      rule::kLostWrite,
      [](SimulationSettings& aSettings) {
        aSettings.guards_.rebuiltIsNew_ = false;
      } },
    { "majority-read",
      10,
      rule::kLostWrite,
      [](SimulationSettings& aSettings) {
        aSettings.guards_.majorityRead_ = false;
      } },
    { "synced",
      617,
      rule::kLostWrite,
      [](SimulationSettings& aSettings) { aSettings.synced_ = false; } },
    { "lease-ends",
      2,
      rule::kNoGrant,
      [](SimulationSettings& aSettings) {
        aSettings.enforcesLeaseExpiry_ = false;
      } },
    { "assume-grants",
      89,
      rule::kAfterChoice,
      [](SimulationSettings& aSettings) { aSettings.assumesGrants_ = false; } },
    { "majority-acknowledges",
      1,
      rule::kNoMajority,
      [](SimulationSettings& aSettings) {
        aSettings.requiresMajority_ = false;
      } },
  };
  return kRows;
}

std::span<const TrafficFailure>
TrafficFailures()
{
  static const std::vector<TrafficFailure> kRows{
    { "majority-before-acknowledgement",
      1,
      rule::kNoMajority,
      &Guards::majorityBeforeAcknowledgement_ },
    { "incarnation", 8, rule::kNoMajority, &Guards::incarnation_ },
    { "probe-travels-with-read",
      27,
      rule::kBelowFloor,
      &Guards::probeWithRead_ },
    { "one-hand-over", 2, rule::kHandedOverTwice, &Guards::singleDispatch_ },
    { "grant-at-acknowledgement",
      152,
      rule::kNoGrant,
      &Guards::grantAtAcknowledgement_ },
  };
  return kRows;
}

} // namespace wigeonlb::core::trace::tests
