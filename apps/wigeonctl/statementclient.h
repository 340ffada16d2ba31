#pragma once

#include <string>
#include <string_view>

#include "ctlsettings.h"

namespace wigeonlb::ctl {

//! Exit codes of wigeonctl.
enum class ExitCode
{
  Done = 0,
  Refused = 1,
  BadInput = 2,
  Unknown = 3,
};

//! The result of a command.
struct CommandResult
{
  ExitCode exitCode_ = ExitCode::Done;
  std::string output_; //!< for standard output
  std::string error_;  //!< for standard error
};

//! Statements to send to the system.
struct StatementRequest
{
  std::string statements_;
  std::string changeId_;
  std::string unknownOutcomeText_; //!< error message if the outcome is unknown
};

//! Sends statements to the hosts in turn until one returns a final answer or
//! the time limit is reached. Every attempt carries the same change id, so that
//! a change whose answer was lost is applied only once.
CommandResult
SendStatements(const CtlSettings& aSettings, const StatementRequest& aRequest);

} // namespace wigeonlb::ctl
