#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include "foundation/clock.h"

namespace wigeonlb::foundation {

//! One `key=value` pair of a log line.
using LogField = std::pair<std::string_view, std::string>;

//! Capacity of the queue of lines that are not written to standard output yet.
//! Further lines are discarded and a line reports how many, so that logging
//! never blocks on a slow reader of the output.
constexpr int kMaxQueuedLogLines = 4096;

//! Writes log lines of at least the named level (`debug`, `info`, `warn`,
//! `error`) to standard output, on a separate thread. Returns false for an
//! unknown level.
bool
SetUpLogging(std::string_view aLevel);

//! Writes the queued lines. Returns false when that takes longer than aLimit
//! because standard output is not being read. The process must then exit
//! without the usual clean-up, which would block on the writer.
bool
ShutDownLogging(Duration aLimit);

//! Logs a change of state at the level `info`, as one line:
//! `event=... key=value ...`. Empty values and values with spaces, quotes,
//! equals signs or control characters are quoted.
//! NOTE Not for events of every request: these are counted in metrics, and
//! failed requests are logged at a limited rate.
void
LogChange(std::string_view aModule,
          std::string_view aEvent,
          std::initializer_list<LogField> aFields = {});

//! Overload for fields that are assembled at run time.
void
LogChange(std::string_view aModule,
          std::string_view aEvent,
          std::span<const LogField> aFields);

//! Like LogChange, at the level `warn`.
void
LogWarning(std::string_view aModule,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields = {});

void
LogWarning(std::string_view aModule,
           std::string_view aEvent,
           std::span<const LogField> aFields);

//! The text of a line, without time, level and module.
std::string
FormatLogLine(std::string_view aEvent, std::span<const LogField> aFields);

} // namespace wigeonlb::foundation
