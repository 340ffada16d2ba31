#pragma once

#include <utility>
#include <vector>

#include "core/traffic/internal/group.h"
#include "core/traffic/trafficstate.h"

namespace wigeonlb::core::traffic::internal {

//! State and output of one Step.
struct Context
{
  Group& group_;
  TrafficCounters& counters_;
  Instant now_;
  std::vector<TrafficAction>& actions_;
};

template<class Action>
void
Emit(Context& aContext, Action aAction)
{
  aContext.actions_.emplace_back(std::move(aAction));
}

} // namespace wigeonlb::core::traffic::internal
