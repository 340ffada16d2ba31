#pragma once

#include "core/consensus/tests/simulatednetwork.h"

namespace wigeonlb::core::consensus {

//! What a schedule may bring about.
struct Faults
{
  int crashPerMille_ = 2;
  bool losesDisks_ = true;
  bool cutsLinks_ = true;
  bool changesMembers_ = false;
};

//! Runs a network under random faults while two operators change the
//! configuration, lets it settle, and checks what must hold in the end.
SimulatedNetwork
RunSchedule(const NetworkSettings& aSettings, const Faults& aFaults);

} // namespace wigeonlb::core::consensus
