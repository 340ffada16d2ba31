#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

#include "foundation/clock.h"

namespace wigeonlb::core::routing {

//! A target that is eligible to serve a read.
struct Candidate
{
  bool sameDataCentre_ = false;
  std::uint32_t outstanding_ = 0;
  foundation::Duration latency_{ 0 };
};

//! Random number generator for ChooseTarget. It is part of the calling state
//! machine's state, so that runs with the same seed are reproducible.
using Generator = std::minstd_rand;

//! Picks two candidates at random and returns the index of the one with the
//! lower product of latency and outstanding statements. Considers only targets
//! in the local data centre if there are any. The list must not be empty.
std::size_t
ChooseTarget(std::span<const Candidate> aCandidates, Generator& aGenerator);

} // namespace wigeonlb::core::routing
