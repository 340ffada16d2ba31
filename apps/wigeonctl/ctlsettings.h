#pragma once

#include <span>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "foundation/findings.h"

namespace wigeonlb::ctl {

//! The commands of wigeonctl.
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
  //! The statements, the name of a file (`-`: standard input), or the id of a
  //! request to explain.
  std::string argument_;
  std::vector<std::string> files_; //!< traces to replay, or logs to read
  std::vector<std::string> hosts_; //!< `ip:port`, tried in turn
  std::string operator_;
  std::string changeId_; //!< empty: a new one is generated
  bool json_ = false;
  bool check_ = false;
  //! Total time limit, including resends.
  foundation::Duration timeout_ = std::chrono::seconds(15);
};

//! Reads an environment variable; replaced in tests.
using Environment = std::string (*)(const char* aName);

//! Reads a variable of the process's environment; empty if it isn't set.
std::string
ReadEnvironment(const char* aName);

//! Parses the command line without the program's name. Adds a finding for each
//! error.
CtlSettings
ParseCommandLine(std::span<const std::string> aArguments,
                 Environment aEnvironment,
                 foundation::Findings& aFindings);

//! The text of --help.
std::string
HelpText();

} // namespace wigeonlb::ctl
