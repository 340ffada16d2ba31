#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "core/failover/tests/simulatedfleet.h"

//! A play of the large control plane: founding, the loss of one leader, and a
//! rolling stop of the hosts of one data centre.
namespace wigeonlb::core::failover {

constexpr foundation::Duration kFoundingLimit = std::chrono::seconds(14);
constexpr foundation::Duration kChangeLimit = std::chrono::seconds(5);

struct Phase
{
  std::string_view name_;
  std::size_t hosts_ = 0;
  std::size_t leaders_ = 0; //!< elected in this phase
  std::uint64_t term_ = 0;  //!< highest term at the end
  //! Until every host holds its grants or knows that it owns nothing; empty if
  //! that took longer than the limit or did not last until the end.
  std::optional<foundation::Duration> settled_;
  foundation::Duration longestUnanswered_{ 0 };
  WorkCount work_;
};

//! Plays the phases and prints their figures. Founding is the only one if it
//! does not settle.
std::vector<Phase>
PlayFleet(const FleetSettings& aSettings);

//! Two fleets that differ in the number of hosts only.
constexpr FleetSettings kComparedFleets[] = { { .hosts_ = 300 },
                                              { .hosts_ = 910 } };

//! Whether a figure of the whole phase grew at most as much as the hosts did.
bool
GrowsLinearly(const Phase& aSmaller,
              const Phase& aLarger,
              std::uint64_t Work::*aFigure);

} // namespace wigeonlb::core::failover
