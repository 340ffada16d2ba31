#pragma once

#include <istream>

#include "ctlsettings.h"
#include "statementclient.h"

namespace wigeonlb::ctl {

//! Runs one command. Reads aInput where the argument is `-`.
CommandResult
RunCommand(const CtlSettings& aSettings, std::istream& aInput);

} // namespace wigeonlb::ctl
