#include "traffic/trafficmetrics.h"

#include "traffic/requestlog.h"

namespace wigeonlb::daemon::traffic {

namespace {

std::string_view
KindName(const StatementRecord& aRecord)
{
  if (!aRecord.isRead_) {
    return "write";
  }
  return aRecord.byReplica_ ? "replica_read" : "primary_read";
}

} // namespace

TrafficMetrics::TrafficMetrics(foundation::MetricsRegistry& aRegistry)
  : registry_(aRegistry)
{
}

void
TrafficMetrics::Record(const StatementRecord& aRecord)
{
  registry_
    .Counter("wigeonlb_statements_total",
             { { "group", aRecord.group_ },
               { "tenant", aRecord.tenant_ },
               { "kind", KindName(aRecord) },
               { "outcome", OutcomeName(aRecord.outcome_) } })
    .Add(1);
  if (!aRecord.sqlstate_.empty()) {
    registry_
      .Counter("wigeonlb_refusals_total",
               { { "database", aRecord.database_ },
                 { "outcome", OutcomeName(aRecord.outcome_) },
                 { "sqlstate", aRecord.sqlstate_ } })
      .Add(1);
  }
  registry_
    .Histogram("wigeonlb_statement_seconds",
               { { "group", aRecord.group_ },
                 { "tenant", aRecord.tenant_ },
                 { "kind", KindName(aRecord) } })
    .Record(aRecord.took_);
}

void
TrafficMetrics::RecordRefusedSession(std::string_view aSqlstate)
{
  registry_
    .Counter("wigeonlb_sessions_refused_total", { { "sqlstate", aSqlstate } })
    .Add(1);
}

void
TrafficMetrics::RecordQuotaDecision(std::string_view aOrganisation,
                                    std::string_view aDecision)
{
  registry_
    .Counter("wigeonlb_quota_decisions_total",
             { { "tenant", aOrganisation }, { "decision", aDecision } })
    .Add(1);
}

} // namespace wigeonlb::daemon::traffic
