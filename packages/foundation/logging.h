#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace wigeonlb::foundation {

//! One `key=value` of a log line.
using LogField = std::pair<std::string_view, std::string>;

//! Sends log lines to standard output at the named level (`debug`, `info`,
//! `warn`, `error`). Returns false for another name.
bool
SetUpLogging(std::string_view aLevel);

//! Logs a change of state as one line: `event=... key=value ...`. Values with
//! spaces, quotes or control characters are quoted.
//! NOTE Not for what happens with every request; that is counted.
void
LogChange(std::string_view aModule,
          std::string_view aEvent,
          std::initializer_list<LogField> aFields = {});

//! Like LogChange, at the level `warn`.
void
LogWarning(std::string_view aModule,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields = {});

//! The text of a line, without level and time.
std::string
FormatLogLine(std::string_view aEvent, std::initializer_list<LogField> aFields);

} // namespace wigeonlb::foundation
