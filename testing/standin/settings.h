#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "foundation/findings.h"

namespace wigeonlb::testing::standin {

//! Command line settings. `standin_set` changes the delays at run time.
struct Settings
{
  std::string group_ = "group/1";
  std::string target_ = "target";
  std::string listen_ = "127.0.0.1:0"; //!< address:port
  std::string announcedAddress_;       //!< empty: the listening address
  std::string dataCentre_ = "dc";
  bool primary_ = false;
  std::uint64_t term_ = 1;
  //! address:port of the other servers of the group
  std::vector<std::string> peers_;
  std::vector<std::string> announce_; //!< address:port of the hosts to notify
  std::chrono::milliseconds announceInterval_{ 1000 };
  std::uint32_t slots_ = 2;
  std::uint32_t connections_ = 20;
  std::chrono::milliseconds connectCost_{ 0 };
  std::chrono::milliseconds statementCost_{ 0 };
  std::chrono::milliseconds shipDelay_{ 0 };
  std::chrono::milliseconds applyDelay_{ 0 };
  std::uint64_t bandwidth_ = 0; //!< of log shipping, bytes/s; 0: no limit
  std::uint64_t incarnation_ = 1;
  std::string appliedLog_; //!< file with one line per applied entry
};

//! Reads the command line. Returns false if only help was requested.
bool
ReadSettings(int argc,
             const char* const* argv,
             Settings& aSettings,
             foundation::Findings& aFindings);

} // namespace wigeonlb::testing::standin
