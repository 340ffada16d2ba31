#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

//! Explains the outcome of a request from the log lines of all hosts.
namespace wigeonlb::ctl {

//! Time before a request's last line within which state changes of its hosts
//! are listed as well. It exceeds the longest lease and the time to detect an
//! isolated host.
constexpr foundation::Duration kStateWindowMs = std::chrono::milliseconds(3000);

//! The same for changes of the configuration, at all hosts, when a session was
//! refused by it. A host may have stood still or been cut off meanwhile.
constexpr foundation::Duration kConfigurationWindowMs =
  std::chrono::milliseconds(15000);

//! One line of a log.
struct LogLine
{
  std::string time_; //!< as written in the log
  std::int64_t atMs_ = 0;
  std::string host_; //!< the last word before the time, or the file's name
  std::string event_;
  std::map<std::string, std::string, std::less<>> fields_;
  std::string text_; //!< the rest of the line, starting with the event
};

//! Parses a line. Returns nothing if it isn't a log line.
std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aFile);

//! Returns the lines that concern a request, sorted by time, and a last line
//! with the decision that determined its outcome. A session that was refused is
//! named as in the field `session` of its line. Empty if no line contains the
//! name.
std::string
ExplainRequest(std::string_view aRequest, const std::vector<LogLine>& aLines);

} // namespace wigeonlb::ctl
