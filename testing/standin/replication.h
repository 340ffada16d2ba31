#pragma once

#include <string>

#include "testing/standin/state.h"

namespace wigeonlb::testing::standin {

//! Pulls the log from one peer (address:port) until the process ends. Runs on
//! its own thread. Entries are accepted only while the peer is primary.
[[noreturn]] void
PullFromPeer(State& aState, const std::string& aPeer);

} // namespace wigeonlb::testing::standin
