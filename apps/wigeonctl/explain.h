#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

//! From a request's id to its cause, by the log lines of all hosts.
namespace wigeonlb::ctl {

//! How long before a request's last line a change of what its hosts believed is
//! told beside it: above the longest lease and the time to find a host cut off.
constexpr foundation::Duration kStateWindowMs = std::chrono::milliseconds(3000);

//! One line of a log.
struct LogLine
{
  std::string time_; //!< as written
  std::int64_t atMs_ = 0;
  std::string host_; //!< what stands before the time, or the file's name
  std::string event_;
  std::map<std::string, std::string, std::less<>> fields_;
  std::string text_; //!< from the event on
};

//! Reads a line; nothing for one that is no log line.
std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aFile);

//! The lines that concern a request, in order of time, and the decision that
//! sealed it. Empty when no line names the request.
std::string
ExplainRequest(std::string_view aRequest, const std::vector<LogLine>& aLines);

} // namespace wigeonlb::ctl
