#pragma once

#include "ports.h"

namespace wigeonlb::daemon {

//! The main function of the daemon: reads command line, environment and
//! settings file, and serves with the given protocols. Returns the exit code: 2
//! if the settings can't be used.
int
DaemonMain(int argc, char** argv, const Ports& aPorts);

} // namespace wigeonlb::daemon
