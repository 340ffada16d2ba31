#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/configuration/hostconfiguration.h"
#include "core/traffic/trafficstate.h"
#include "forward.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "foundation/logging.h"
#include "foundation/logposition.h"
#include "foundation/metrics.h"
#include "foundation/tokenbucket.h"

namespace wigeonlb::daemon::traffic {

//! What happened to a request; the `event` field of the log line.
enum class RequestEvent
{
  Answered, //!< at the entry host: it was answered with an error
  HandedOn, //!< at the entry host: it was sent on to another owner
  Finished, //!< at the owner: it ended with an error
  //! At the owner: it arrived with another transaction than the one there.
  TransactionDiffers,
  //! At the entry host: a session was refused by the configuration in force.
  SessionRefused,
};

std::string_view
EventName(RequestEvent aEvent);

std::string_view
OutcomeName(wire::Outcome aOutcome);

std::string_view
StatementClassName(wire::StatementClass aClass);

//! Identifies a request in the log lines of all hosts.
struct RequestName
{
  std::string_view id_; //!< set by the caller; empty: its protocol has none
  std::string_view entryHost_;
  std::uint64_t session_ = 0; //!< at the entry host
  std::uint64_t number_ = 0;  //!< of the attempt within the session
};

//! A decision about a request, with the state on which it was based.
struct RequestDecision
{
  RequestEvent event_ = RequestEvent::Answered;
  RequestName request_;
  std::string_view group_;
  std::string_view database_;                 //!< empty at the owner
  std::optional<wire::StatementClass> class_; //!< empty at the entry host
  std::optional<wire::Outcome> outcome_;      //!< empty: it goes on
  std::string_view sqlstate_;
  std::string_view reason_;
  //! Number of the request that began the transaction to which the request
  //! belongs, by its entry host; 0: it belongs to none.
  std::optional<std::uint64_t> transaction_;
  //! The owner that received the last attempt; empty at the owner.
  std::string_view owner_;
  std::string_view target_; //!< that ran the request; empty: none
  foundation::LogPosition floor_;
  foundation::Duration took_{ 0 };
  std::optional<foundation::Duration> latencyObjective_;
  //! Revision of the routes at the entry host.
  std::optional<foundation::Revision> revision_;
  //! The leader's statement about that revision.
  std::optional<core::configuration::Confirmation> confirmation_;
  foundation::Duration confirmationAge_{ 0 };

  //! At the owner: the session's transaction when the request arrived.
  std::optional<core::traffic::SessionTransaction> openTransaction_;

  // State of the owner at the decision.
  std::optional<std::uint64_t> grantTerm_;
  foundation::Duration leaseRemaining_{ 0 };
  std::optional<std::size_t> queued_;
  std::optional<std::size_t> queuedForPrimary_; //!< of queued_
  std::optional<std::size_t> openTransactions_;
  foundation::LogPosition newest_; //!< newest known position of the primary
  std::optional<foundation::Duration> newestAge_;
};

//! Builds the fields of the log line for a decision. Fields without a value are
//! left out.
std::vector<foundation::LogField>
BuildLogFields(const RequestDecision& aDecision);

//! Rate-limited log of requests. Suppressed lines are counted by event in a
//! metric, and the next line that is written is preceded by their number.
//! Callable from any thread.
class RequestLog
{
public:
  //! With aLinesPerSecond 0 there is no limit.
  RequestLog(std::uint64_t aLinesPerSecond,
             foundation::MetricsRegistry& aRegistry);

  void Write(const RequestDecision& aDecision, foundation::Instant aNow);

private:
  void LogSuppressedLines();

  foundation::MetricsRegistry& registry_;
  std::mutex mutex_;
  foundation::TokenBucket budget_;
  std::map<std::string_view, std::uint64_t> suppressedLines_; //!< by event
};

} // namespace wigeonlb::daemon::traffic
