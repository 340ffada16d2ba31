#pragma once

#include <string_view>

#include "forward.pb.h"
#include "foundation/clock.h"
#include "foundation/metrics.h"

namespace wigeonlb::daemon::traffic {

//! The outcome of one statement at its entry host.
struct StatementRecord
{
  std::string_view group_;
  std::string_view database_;
  std::string_view tenant_;
  bool isRead_ = false;
  bool byReplica_ = false;
  wire::Outcome outcome_ = wire::OUTCOME_DONE;
  std::string_view sqlstate_; //!< empty if a target answered
  foundation::Duration took_{ 0 };
};

//! Counters and histograms of the statements that this host's callers sent.
class TrafficMetrics
{
public:
  explicit TrafficMetrics(foundation::MetricsRegistry& aRegistry);

  //! Callable from any thread.
  void Record(const StatementRecord& aRecord);
  //! Counts a session, or a statement of one, whose name has no route.
  //! Callable from any thread.
  void RecordRefusedSession(std::string_view aSqlstate);
  //! Counts an operation that was admitted or refused by a quota.
  void RecordQuotaDecision(std::string_view aOrganisation,
                           std::string_view aDecision);

private:
  foundation::MetricsRegistry& registry_;
};

} // namespace wigeonlb::daemon::traffic
