#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "foundation/findings.h"

namespace wigeonlb::testing::loadclient {

//! What the flags say.
struct Settings
{
  std::vector<std::string> hosts_; //!< address:port
  std::string group_ = "group/1";
  std::string run_; //!< prefix of every id; must differ between two runs
  std::uint32_t sessions_ = 8;
  std::chrono::milliseconds runDuration_{ 5000 };
  std::uint64_t requests_ = 0; //!< of each session; 0: until the time is over
  double writeShare_ = 0.2;
  double transactionShare_ = 0.2; //!< of the writes, as BEGIN ... COMMIT
  double tolerantShare_ = 0.3;    //!< of the reads, with maxAge_
  double moveShare_ = 0.05;       //!< chance to change hosts before a request
  std::chrono::milliseconds maxAge_{ 5000 };
  //! Mean time between two requests of a session, exponentially distributed.
  std::chrono::milliseconds pause_{ 0 };
  //! Requests a second of all sessions, sent when they are due and not when the
  //! last one was answered, unless the session is busy; 0: one after the other.
  double rate_ = 0;
  std::chrono::milliseconds timeout_{ 10000 }; //!< of a request
  std::uint64_t seed_ = 1;
  bool direct_ = false; //!< straight to one server: no session settings
  //! Replicas that reads go to in turn, past any host; with direct_.
  std::vector<std::string> readHosts_;
  std::string readLog_; //!< file for one line of each read; none if empty
};

//! Reads the command line. Returns false when only help was asked for.
bool
ReadSettings(int argc,
             const char* const* argv,
             Settings& aSettings,
             foundation::Findings& aFindings);

} // namespace wigeonlb::testing::loadclient
