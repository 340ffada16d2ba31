#include <catch2/catch.hpp>

#include "traffic/requestlog.h"

namespace wigeonlb::daemon::traffic {

using namespace std::chrono_literals;

TEST_CASE("a decision's log line has all fields that are set", "[requestlog]")
{
  struct Row
  {
    RequestDecision decision_;
    std::string line_;
  };
  const auto row = GENERATE(values<Row>({
    { { .event_ = RequestEvent::Answered,
        .request_ = { "r1", "10.0.0.1", 7, 3 },
        .group_ = "g",
        .database_ = "d",
        .outcome_ = wire::OUTCOME_NOT_RUN,
        .sqlstate_ = "57P03",
        .reason_ = "no owner",
        .took_ = 12ms,
        .latencyObjective_ = 200ms,
        .revision_ = 41 },
      "event=request-answered request=r1 session=10.0.0.1/7 attempt=3 group=g "
      "database=d outcome=not_run sqlstate=57P03 reason=\"no owner\" "
      "took_ms=12 aim_ms=200 revision=41" },
    { { .event_ = RequestEvent::Finished,
        .request_ = { "", "10.0.0.1", 7, 3 },
        .group_ = "g",
        .class_ = wire::STATEMENT_PRIMARY_READ,
        .outcome_ = wire::OUTCOME_UNKNOWN,
        .sqlstate_ = "08007",
        .target_ = "a",
        .floor_ = { 2, 9 },
        .took_ = 3ms,
        .grantTerm_ = 2,
        .leaseRemaining_ = 640ms,
        .queued_ = 5,
        .queuedForPrimary_ = 4,
        .openTransactions_ = 1,
        .newest_ = { 2, 11 },
        .newestAge_ = 30ms },
      "event=request-finished session=10.0.0.1/7 attempt=3 group=g "
      "statement=primary-read outcome=unknown sqlstate=08007 target=a "
      "floor=2/9 took_ms=3 grant_term=2 grant_left_ms=640 queued=5 "
      "queued_primary=4 open_transactions=1 newest=2/11 newest_age_ms=30" },
    { { .event_ = RequestEvent::TransactionDiffers,
        .request_ = { "r1", "10.0.0.1", 7, 9 },
        .group_ = "g",
        .transaction_ = 0,
        .openTransaction_ =
          core::traffic::SessionTransaction{ 4, 21, "a", 900ms, 850ms } },
      "event=transaction-differs request=r1 session=10.0.0.1/7 attempt=9 "
      "group=g transaction=0 took_ms=0 open_transaction=4 connection=21 "
      "open_at=a open_ms=900 open_idle_ms=850" },
    { { .event_ = RequestEvent::SessionRefused,
        .request_ = { "", "10.0.0.1", 7, 0 },
        .database_ = "d",
        .outcome_ = wire::OUTCOME_NOT_RUN,
        .sqlstate_ = "3D000",
        .reason_ = "unknown",
        .revision_ = 70,
        .confirmation_ =
          core::configuration::Confirmation{ 69, {}, "10.0.0.9" },
        .confirmationAge_ = 3300ms },
      "event=session-refused session=10.0.0.1/7 attempt=0 database=d "
      "outcome=not_run sqlstate=3D000 reason=unknown took_ms=0 revision=70 "
      "confirmed_revision=69 confirmed_by=10.0.0.9 confirmed_ms=3300" },
  }));
  CHECK(foundation::FormatLogLine(EventName(row.decision_.event_),
                                  BuildLogFields(row.decision_)) == row.line_);
}

TEST_CASE("lines beyond the rate limit are dropped and counted", "[requestlog]")
{
  struct Row
  {
    std::uint64_t bound_;
    std::uint64_t suppressed_; //!< of 100 lines at once
  };
  const auto row = GENERATE(values<Row>({ { 0, 0 }, { 10, 60 }, { 50, 0 } }));
  foundation::MetricsRegistry registry;
  RequestLog log(row.bound_, registry);
  const foundation::Instant now = foundation::SteadyNow();
  for (int i = 0; i < 100; ++i) {
    log.Write({ .request_ = { "r", "h", 1, 1 } }, now);
  }
  CHECK(registry
          .Counter("wigeonlb_log_lines_left_out_total",
                   { { "event", EventName(RequestEvent::Answered) } })
          .Value() == row.suppressed_);
}

} // namespace wigeonlb::daemon::traffic
