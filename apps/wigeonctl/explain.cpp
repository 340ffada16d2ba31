#include "explain.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <set>

namespace wigeonlb::ctl {

namespace {

constexpr std::string_view kLevel = " level=";
constexpr std::string_view kEvent = " event=";

//! Events of state changes of a host that can affect its requests.
constexpr std::string_view kStateEvents[] = {
  "callers-sent-away",
  "configuration-in-force",
  "configuration-read",
  "configuration-refused",
  "cut-off",
  "cut-off-ended",
  "draining",
  "grant-ended",
  "grant-held",
  "grant-revoked",
  "leading",
  "leading-ended",
  "lost",
  "peer-lost",
  "peer-reachable",
  "promotion-answered",
  "promotion-not-sent",
  "promotion-ordered",
  "serving",
  "starting",
};

//! Events that show which configuration each host had, and since when.
constexpr std::string_view kConfigurationEvents[] = {
  "change-answered",
  "change-decided",
  "configuration-answered",
  "configuration-in-force",
  "configuration-read",
  "configuration-refused",
  "configuration-sent",
  "host-behind",
  "host-caught-up",
  "leader-changed",
  "leader-heard-again",
  "leader-not-heard",
  "leading",
  "leading-ended",
  "member-started",
  "starting",
};

constexpr std::string_view kSessionRefused = "session-refused";

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::optional<std::int64_t>
ReadTime(const std::string& aText)
{
  std::tm time{};
  int milliseconds = 0;
  const int read = std::sscanf(aText.c_str(),
                               "%4d-%2d-%2dT%2d:%2d:%2d.%3d",
                               &time.tm_year,
                               &time.tm_mon,
                               &time.tm_mday,
                               &time.tm_hour,
                               &time.tm_min,
                               &time.tm_sec,
                               &milliseconds);
  constexpr int kParts = 7;
  if (read != kParts) {
    return std::nullopt;
  }
  constexpr int kFirstYear = 1900;
  time.tm_year -= kFirstYear;
  --time.tm_mon;
  return std::int64_t{ timegm(&time) } * kMillisecondsPerSecond + milliseconds;
}

//! Removes a value from the front and returns it, without quotes if it is
//! quoted.
std::string
ExtractValue(std::string_view& aRest)
{
  std::string value;
  if (!aRest.starts_with('"')) {
    const std::size_t end = std::min(aRest.find(' '), aRest.size());
    value = aRest.substr(0, end);
    aRest.remove_prefix(end);
    return value;
  }
  aRest.remove_prefix(1);
  while (!aRest.empty() && aRest.front() != '"') {
    if (aRest.front() == '\\' && aRest.size() > 1) {
      aRest.remove_prefix(1);
    }
    value += aRest.front();
    aRest.remove_prefix(1);
  }
  aRest.remove_prefix(std::min<std::size_t>(1, aRest.size()));
  return value;
}

void
ReadFields(std::string_view aText, LogLine& aLine)
{
  while (!aText.empty()) {
    const std::size_t equals = aText.find('=');
    if (equals == std::string_view::npos) {
      return;
    }
    const std::string key(aText.substr(0, equals));
    aText.remove_prefix(equals + 1);
    aLine.fields_[key] = ExtractValue(aText);
    aText.remove_prefix(std::min<std::size_t>(1, aText.size()));
  }
}

std::string
GetField(const LogLine& aLine, std::string_view aKey)
{
  const auto found = aLine.fields_.find(aKey);
  return found == aLine.fields_.end() ? std::string() : found->second;
}

//! Identifies one attempt of a request in the logs of all hosts; empty if the
//! line has no session.
std::string
GetAttempt(const LogLine& aLine)
{
  const std::string session = GetField(aLine, "session");
  return session.empty() ? session : session + "#" + GetField(aLine, "attempt");
}

//! The attempts, hosts and groups that occur in the lines with the request's
//! id.
struct RequestScope
{
  std::set<std::string> attempts_;
  std::set<std::string> hosts_;
  std::set<std::string> groups_;
  std::int64_t lastMs_ = 0;
  bool isRefusedSession_ = false; //!< by the configuration in force
};

bool
IsNamed(const LogLine& aLine, std::string_view aRequest)
{
  return GetField(aLine, "request") == aRequest ||
         (aLine.event_ == kSessionRefused &&
          GetField(aLine, "session") == aRequest);
}

RequestScope
FindRequestScope(std::string_view aRequest, const std::vector<LogLine>& aLines)
{
  RequestScope requestScope;
  for (const LogLine& line : aLines) {
    if (!IsNamed(line, aRequest)) {
      continue;
    }
    requestScope.isRefusedSession_ |= line.event_ == kSessionRefused;
    requestScope.attempts_.insert(GetAttempt(line));
    requestScope.hosts_.insert(line.host_);
    requestScope.groups_.insert(GetField(line, "group"));
    requestScope.lastMs_ = std::max(requestScope.lastMs_, line.atMs_);
  }
  requestScope.attempts_.erase("");
  requestScope.groups_.erase("");
  return requestScope;
}

bool
IsRequestLine(const LogLine& aLine,
              std::string_view aRequest,
              const RequestScope& aScope)
{
  return IsNamed(aLine, aRequest) ||
         aScope.attempts_.contains(GetAttempt(aLine));
}

bool
IsWithin(const LogLine& aLine,
         const RequestScope& aScope,
         foundation::Duration aWindow)
{
  const std::int64_t ageMs = aScope.lastMs_ - aLine.atMs_;
  return ageMs >= 0 && ageMs <= foundation::ToMilliseconds(aWindow);
}

bool
IsConfigurationChange(const LogLine& aLine, const RequestScope& aScope)
{
  const bool isListed = std::ranges::find(kConfigurationEvents, aLine.event_) !=
                        std::end(kConfigurationEvents);
  return aScope.isRefusedSession_ && isListed &&
         IsWithin(aLine, aScope, kConfigurationWindowMs);
}

bool
IsStateChange(const LogLine& aLine, const RequestScope& aScope)
{
  const std::string group = GetField(aLine, "group");
  const bool isInWindow = IsWithin(aLine, aScope, kStateWindowMs);
  const bool isStateEvent =
    std::ranges::find(kStateEvents, aLine.event_) != std::end(kStateEvents);
  return isInWindow && isStateEvent &&
         (group.empty() ? aScope.hosts_.contains(aLine.host_)
                        : aScope.groups_.contains(group));
}

//! Finds the line that determined the outcome: the last decision of an owner,
//! or, without one, that of the entry host. Null if no line has an outcome.
const LogLine*
FindDecidingLine(const std::vector<const LogLine*>& aRequestLines)
{
  const LogLine* deciding = nullptr;
  for (const LogLine* line : aRequestLines) {
    if (GetField(*line, "outcome").empty()) {
      continue;
    }
    const bool isOwnersDecision = line->event_ == "request-finished";
    const bool isDecidedByOwner =
      deciding != nullptr && deciding->event_ == "request-finished";
    if (isOwnersDecision || !isDecidedByOwner) {
      deciding = line;
    }
  }
  return deciding;
}

std::string
Render(const LogLine& aLine)
{
  return aLine.time_ + " " + aLine.host_ + " " + aLine.text_ + "\n";
}

} // namespace

std::optional<LogLine>
ParseLogLine(std::string_view aLine, std::string_view aFile)
{
  const std::size_t level = aLine.find(kLevel);
  const std::size_t event = aLine.find(kEvent);
  if (level == std::string_view::npos || event == std::string_view::npos) {
    return std::nullopt;
  }
  LogLine line;
  const std::string_view head = aLine.substr(0, level);
  const std::size_t space = head.rfind(' ');
  const bool hasNoPrefix = space == std::string_view::npos;
  line.time_ = head.substr(hasNoPrefix ? 0 : space + 1);
  const auto at = ReadTime(line.time_);
  if (!at) {
    return std::nullopt;
  }
  line.atMs_ = *at;
  const std::string_view front = hasNoPrefix ? "" : head.substr(0, space);
  const std::size_t word = front.rfind(' ');
  line.host_ = front.substr(word == std::string_view::npos ? 0 : word + 1);
  if (line.host_.empty()) {
    line.host_ = aFile;
  }
  line.text_ = aLine.substr(event + kEvent.size());
  const std::size_t end = std::min(line.text_.find(' '), line.text_.size());
  line.event_ = line.text_.substr(0, end);
  ReadFields(
    std::string_view(line.text_).substr(std::min(end + 1, line.text_.size())),
    line);
  return line;
}

std::string
ExplainRequest(std::string_view aRequest, const std::vector<LogLine>& aLines)
{
  const RequestScope requestScope = FindRequestScope(aRequest, aLines);
  if (requestScope.hosts_.empty()) {
    return {};
  }
  std::vector<const LogLine*> listed;
  std::vector<const LogLine*> requestLines;
  for (const LogLine& line : aLines) {
    const bool isRequestLine = IsRequestLine(line, aRequest, requestScope);
    if (isRequestLine) {
      requestLines.push_back(&line);
    }
    if (isRequestLine || IsStateChange(line, requestScope) ||
        IsConfigurationChange(line, requestScope)) {
      listed.push_back(&line);
    }
  }
  const auto earlier = [](const LogLine* aLeft, const LogLine* aRight) {
    return aLeft->atMs_ < aRight->atMs_;
  };
  std::ranges::stable_sort(listed, earlier);
  std::ranges::stable_sort(requestLines, earlier);
  std::string text;
  for (const LogLine* line : listed) {
    text += Render(*line);
  }
  const LogLine* deciding = FindDecidingLine(requestLines);
  if (deciding == nullptr) {
    return text + "not sealed: no line has an outcome\n";
  }
  text += "sealed by " + deciding->host_ +
          ": outcome=" + GetField(*deciding, "outcome") +
          " sqlstate=" + GetField(*deciding, "sqlstate") +
          " reason: " + GetField(*deciding, "reason") + "\n";
  return text;
}

} // namespace wigeonlb::ctl
