#pragma once

#include <string>

#include "testing/standin/state.h"

namespace wigeonlb::testing::standin {

//! Announces this server, at aAddress, to one host (address:port). Returns true
//! if the host answered with status 200.
bool
Announce(State& aState,
         const std::string& aHost,
         const std::string& aAddress,
         bool aLeaving);

//! Announces periodically until the process ends. Runs on its own thread.
[[noreturn]] void
KeepAnnouncing(State& aState,
               const std::string& aHost,
               const std::string& aAddress);

} // namespace wigeonlb::testing::standin
