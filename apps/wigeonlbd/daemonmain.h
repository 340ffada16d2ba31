#pragma once

#include "ports.h"

namespace wigeonlb::daemon {

//! The whole program: reads command line, environment and settings file, and
//! serves with these ports. Returns the exit code: 2 for settings that can't be
//! used.
int
DaemonMain(int argc, char** argv, const Ports& aPorts);

} // namespace wigeonlb::daemon
