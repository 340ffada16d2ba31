#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "foundation/findings.h"

namespace wigeonlb::testing::loadclient {

//! Command line settings.
struct Settings
{
  std::vector<std::string> hosts_; //!< address:port
  std::string group_ = "group/1";
  std::string run_; //!< prefix of all ids; must be unique to the run
  std::uint32_t sessions_ = 8;
  std::chrono::milliseconds runDuration_{ 5000 };
  std::uint64_t requests_ = 0; //!< per session; 0: limited by time only
  double writeShare_ = 0.2;
  double transactionShare_ = 0.2; //!< of the writes, as BEGIN ... COMMIT
  double tolerantShare_ = 0.3;    //!< of the reads, with maxAge_
  double moveShare_ = 0.05;       //!< probability of a change of the host
  std::chrono::milliseconds maxAge_{ 5000 };
  //! Mean time between two requests of a session, exponentially distributed.
  std::chrono::milliseconds pause_{ 0 };
  //! Requests per second of all sessions together. They are sent on schedule,
  //! or late if the session is still busy. 0: no schedule; each request follows
  //! the answer to the previous one, after pause_.
  double rate_ = 0;
  std::chrono::milliseconds timeout_{ 10000 }; //!< per request
  std::uint64_t seed_ = 1;
  bool direct_ = false; //!< connects to a target: no session settings
  //! Replicas that receive the reads in turn, bypassing the hosts; with
  //! direct_.
  std::vector<std::string> readHosts_;
  std::string readLog_; //!< file with one line per read; empty: none
};

//! Reads the command line. Returns false if only help was requested.
bool
ReadSettings(int argc,
             const char* const* argv,
             Settings& aSettings,
             foundation::Findings& aFindings);

} // namespace wigeonlb::testing::loadclient
