#pragma once

#include <string>
#include <string_view>

#include "ctlsettings.h"

namespace wigeonlb::ctl {

//! Exit codes of the command.
enum class ExitCode
{
  Done = 0,
  Refused = 1,
  BadInput = 2,
  Unknown = 3,
};

//! What came of a command.
struct CommandResult
{
  ExitCode exitCode_ = ExitCode::Done;
  std::string output_; //!< for standard output
  std::string error_;  //!< for standard error
};

//! Statements on their way to the system.
struct StatementRequest
{
  std::string statements_;
  std::string changeId_;
  std::string unknownOutcomeText_; //!< told when the outcome stays unknown
};

//! Sends statements to the hosts in turn until one answers for good or the time
//! is up. Every attempt carries the same change id, so that a change whose
//! answer was lost is applied once.
CommandResult
SendStatements(const CtlSettings& aSettings, const StatementRequest& aRequest);

} // namespace wigeonlb::ctl
