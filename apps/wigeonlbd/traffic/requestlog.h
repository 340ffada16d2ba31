#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "forward.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "foundation/logging.h"
#include "foundation/logposition.h"
#include "foundation/metrics.h"
#include "foundation/tokenbucket.h"

namespace wigeonlb::daemon::traffic {

//! What happened to a request, as the log's `event`.
enum class RequestEvent
{
  Answered, //!< at its entry host: the caller's answer, unless it was good
  HandedOn, //!< at its entry host: to another owner, after the first
  Finished, //!< at its owner: the outcome, unless it was good
};

std::string_view
EventName(RequestEvent aEvent);

std::string_view
OutcomeName(wire::Outcome aOutcome);

//! Names a request in the log lines of all hosts.
struct RequestName
{
  std::string_view id_; //!< the caller's own; empty: its protocol has none
  std::string_view entryHost_;
  std::uint64_t session_ = 0; //!< at the entry host
  std::uint64_t number_ = 0;  //!< of the attempt within the session
};

//! A decision about a request, with what decided it.
struct RequestDecision
{
  RequestEvent event_ = RequestEvent::Answered;
  RequestName request_;
  std::string_view group_;
  std::string_view database_; //!< empty at the owner
  wire::Outcome outcome_ = wire::OUTCOME_DONE;
  std::string_view sqlstate_;
  std::string_view reason_;
  std::string_view owner_;  //!< asked last; empty at the owner itself
  std::string_view target_; //!< that it was handed to; empty: none
  foundation::LogPosition floor_;
  foundation::Duration took_{ 0 };
  std::optional<foundation::Duration> latencyObjective_;
  std::optional<foundation::Revision> revision_; //!< in force at the entry host

  // Of the owner, when it decided.
  std::optional<std::uint64_t> grantTerm_;
  foundation::Duration leaseRemaining_{ 0 };
  std::optional<std::size_t> queued_;
  foundation::LogPosition newest_; //!< position known of the primary
  std::optional<foundation::Duration> newestAge_;
};

//! The fields of a decision's line, those without a value left out.
std::vector<foundation::LogField>
BuildLogFields(const RequestDecision& aDecision);

//! Log lines about requests, bounded: past the bound they are counted by event,
//! and a line says how many were left out. Callable from any thread.
class RequestLog
{
public:
  //! aLinesPerSecond 0: no bound.
  RequestLog(std::uint64_t aLinesPerSecond,
             foundation::MetricsRegistry& aRegistry);

  void Write(const RequestDecision& aDecision, foundation::Instant aNow);

private:
  void TellLeftOut();

  foundation::MetricsRegistry& registry_;
  std::mutex mutex_;
  foundation::TokenBucket budget_;
  std::map<std::string_view, std::uint64_t> leftOut_; //!< by event
};

} // namespace wigeonlb::daemon::traffic
