#pragma once

#include <span>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "foundation/findings.h"

namespace wigeonlb::ctl {

//! What the command is to do.
enum class Command
{
  Help,
  Statement,
  Apply,
  Replay,
  Explain,
};

//! The command line and environment of wigeonctl.
struct CtlSettings
{
  Command command_ = Command::Statement;
  //! The statements, or the name of a file; `-` stands for standard input.
  std::string argument_;
  std::vector<std::string> files_; //!< traces to replay, or logs to read
  std::vector<std::string> hosts_; //!< `ip:port`, tried in turn
  std::string operator_;
  std::string changeId_; //!< empty: made anew
  bool json_ = false;
  bool check_ = false;
  //! For everything, resending included.
  foundation::Duration timeout_ = std::chrono::seconds(15);
};

//! What the settings read besides the command line; set by tests.
using Environment = std::string (*)(const char* aName);

//! The process's environment; empty for a variable that isn't set.
std::string
ReadEnvironment(const char* aName);

//! Reads the command line without the program's name. Adds a finding for each
//! thing that is wrong.
CtlSettings
ParseCommandLine(std::span<const std::string> aArguments,
                 Environment aEnvironment,
                 foundation::Findings& aFindings);

//! The text of --help.
std::string
HelpText();

} // namespace wigeonlb::ctl
