#include "statementclient.h"

#include <algorithm>
#include <charconv>
#include <thread>

#include "http/httpclient.h"

namespace wigeonlb::ctl {

using foundation::Duration;
using foundation::Instant;
using foundation::SteadyNow;

namespace {

constexpr Duration kAttemptTimeoutS = std::chrono::seconds(5);
constexpr Duration kInitialRetryDelayMs = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelayS = std::chrono::seconds(2);

//! Outcome of an attempt at one host.
enum class AttemptOutcome
{
  Final,        //!< the host returned a final answer
  NotApplied,   //!< this attempt was certainly not applied
  MaybeApplied, //!< this attempt may have been applied
};

struct Attempt
{
  AttemptOutcome outcome_ = AttemptOutcome::NotApplied;
  CommandResult result_;
  Duration retryAfter_{ 0 };
};

std::string
MakeRequestTarget(const CtlSettings& aSettings, std::string_view aChangeId)
{
  std::string target = "/statement?format=";
  target += aSettings.json_ ? "json" : "table";
  target += "&operator=" + http::EncodeQuery(aSettings.operator_);
  target += "&change_id=" + http::EncodeQuery(aChangeId);
  return target;
}

Duration
ReadRetryAfter(const http::HttpResponse& aResponse)
{
  const auto header = aResponse.headers_.find("Retry-After");
  if (header == aResponse.headers_.end()) {
    return Duration(0);
  }
  int seconds = 0;
  const std::string& text = header->second;
  std::from_chars(text.data(), text.data() + text.size(), seconds);
  return std::chrono::seconds(std::clamp(seconds, 0, 3600));
}

//! NOTE Among the statuses that can be retried, only 503 can mean that the
//! change was not applied; the body states it in both of the service's formats.
AttemptOutcome
ClassifyResponse(const http::HttpResponse& aResponse)
{
  if (aResponse.status_ < 500) {
    return AttemptOutcome::Final;
  }
  const std::string& body = aResponse.body_;
  const bool notDecided =
    body.starts_with("not decided") ||
    body.find("\"state\": \"not_decided\"") != std::string::npos;
  return aResponse.status_ == 503 && notDecided ? AttemptOutcome::NotApplied
                                                : AttemptOutcome::MaybeApplied;
}

CommandResult
FinalResult(const http::HttpResponse& aResponse)
{
  if (aResponse.status_ == 200) {
    return { ExitCode::Done, aResponse.body_, {} };
  }
  if (aResponse.status_ == 409) {
    return { ExitCode::Refused, {}, aResponse.body_ };
  }
  return { ExitCode::BadInput, {}, aResponse.body_ };
}

Attempt
TryHost(const std::string& aHost,
        const std::string& aTarget,
        std::string_view aStatements,
        Duration aTimeout)
{
  const http::HttpResult result =
    http::HttpClient::Request(aHost, "POST", aTarget, aStatements, aTimeout);
  Attempt attempt;
  if (result.error_) {
    attempt.outcome_ =
      result.sent_ ? AttemptOutcome::MaybeApplied : AttemptOutcome::NotApplied;
    attempt.result_.error_ = aHost + ": " + result.error_.message() + "\n";
    return attempt;
  }
  attempt.outcome_ = ClassifyResponse(result.response_);
  if (attempt.outcome_ == AttemptOutcome::Final) {
    attempt.result_ = FinalResult(result.response_);
  } else {
    attempt.result_.error_ = aHost + ": " + result.response_.body_;
    attempt.retryAfter_ = ReadRetryAfter(result.response_);
  }
  return attempt;
}

} // namespace

CommandResult
SendStatements(const CtlSettings& aSettings, const StatementRequest& aRequest)
{
  const std::string target = MakeRequestTarget(aSettings, aRequest.changeId_);
  const Instant deadline = SteadyNow() + aSettings.timeout_;
  Duration retryDelay = kInitialRetryDelayMs;
  std::string errors;
  bool maybeApplied = false;
  while (true) {
    errors.clear();
    Duration wait = retryDelay;
    for (const std::string& host : aSettings.hosts_) {
      const Duration left = deadline - SteadyNow();
      if (left <= Duration(0)) {
        break;
      }
      const Attempt attempt = TryHost(
        host, target, aRequest.statements_, std::min(left, kAttemptTimeoutS));
      if (attempt.outcome_ == AttemptOutcome::Final) {
        return attempt.result_;
      }
      // An earlier attempt may still be applied, whatever later ones return.
      maybeApplied =
        maybeApplied || attempt.outcome_ == AttemptOutcome::MaybeApplied;
      errors += attempt.result_.error_;
      wait = std::max(wait, std::min(attempt.retryAfter_, kMaxRetryDelayS));
    }
    if (SteadyNow() + wait >= deadline) {
      break;
    }
    std::this_thread::sleep_for(wait);
    retryDelay = std::min(retryDelay * 2, kMaxRetryDelayS);
  }
  errors += maybeApplied ? aRequest.unknownOutcomeText_
                         : "unreachable: nothing was applied";
  errors += "\n";
  return { ExitCode::Unknown, {}, errors };
}

} // namespace wigeonlb::ctl
