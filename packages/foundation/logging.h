#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "foundation/clock.h"

namespace wigeonlb::foundation {

//! One `key=value` of a log line.
using LogField = std::pair<std::string_view, std::string>;

//! Lines that wait for standard output at most. Further ones are left out, and
//! a line says how many: whoever logs never waits for whoever reads.
constexpr int kMaxQueuedLogLines = 4096;

//! Sends log lines to standard output at the named level (`debug`, `info`,
//! `warn`, `error`), on a thread of its own. Returns false for another name.
bool
SetUpLogging(std::string_view aLevel);

//! Writes what still waits. Returns false when that takes longer than aLimit,
//! as nobody reads: the process then ends without its usual clean-up, which
//! would wait for the reader.
bool
ShutDownLogging(Duration aLimit);

//! Logs a change of state as one line: `event=... key=value ...`. Values with
//! spaces, quotes or control characters are quoted.
//! NOTE Not for what happens with every request: that is counted, and what went
//! wrong is logged within a bound.
void
LogChange(std::string_view aModule,
          std::string_view aEvent,
          std::initializer_list<LogField> aFields = {});

//! The same with fields that are put together at run time.
void
LogChange(std::string_view aModule,
          std::string_view aEvent,
          std::span<const LogField> aFields);

//! Like LogChange, at the level `warn`.
void
LogWarning(std::string_view aModule,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields = {});

//! The text of a line, without level and time.
std::string
FormatLogLine(std::string_view aEvent, std::span<const LogField> aFields);

} // namespace wigeonlb::foundation
