#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

constexpr auto kDone = wire::OUTCOME_DONE;
constexpr auto kNotRun = wire::OUTCOME_NOT_RUN;
constexpr auto kUnknown = wire::OUTCOME_UNKNOWN;
constexpr auto kRead = wire::STATEMENT_READ;
constexpr auto kBegin = wire::STATEMENT_BEGIN;
constexpr auto kCommit = wire::STATEMENT_COMMIT;
constexpr auto kRollback = wire::STATEMENT_ROLLBACK;

} // namespace

TEST_CASE("a write is acknowledged by a majority", "[traffic]")
{
  struct Row
  {
    Duration lagOfB_, lagOfC_;
    wire::Outcome outcome_;
  };
  const auto row = GENERATE(values<Row>({
    { 5ms, 5ms, kDone },
    { 300ms, 5ms, kDone },
    { 300ms, 300ms, kDone },
    { 5s, 5s, kUnknown },
  }));
  FakeGroup group(Settings{}, 3, 3);
  group.Target(1).lag_ = row.lagOfB_;
  group.Target(2).lag_ = row.lagOfC_;
  group.SetUp();
  CHECK(group.Do({}).outcome_ == row.outcome_);
  CHECK(group.Violations().empty());
}

TEST_CASE("a write is rejected while no majority is reachable", "[traffic]")
{
  Settings settings;
  settings.guards_.refuseWhenLagging_ = GENERATE(true, false);
  FakeGroup group(settings, 3, 3);
  group.SetUp();
  group.Target(1).down_ = true;
  group.Target(2).down_ = true;
  group.Run(1s);
  const auto finish = group.Do({});
  const bool guarded = settings.guards_.refuseWhenLagging_;
  CHECK(finish.outcome_ == (guarded ? kNotRun : kUnknown));
  CHECK((finish.retryAfter_ > 0ms) == guarded);
  CHECK(group.Violations().empty());
}

TEST_CASE("writes are rejected after a lag beyond the deadline was measured",
          "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  REQUIRE(group.Do({}).outcome_ == kDone);
  group.Target(1).lag_ = group.Target(2).lag_ = 3s;
  int unknown = 0;
  int notRun = 0;
  for (int i = 0; i < 40; ++i) {
    const auto finish = group.Do({});
    unknown += finish.outcome_ == kUnknown ? 1 : 0;
    notRun += finish.outcome_ == kNotRun ? 1 : 0;
    group.Run(100ms);
  }
  CHECK(unknown <= 4);
  CHECK(notRun >= 30);
  group.Target(1).lag_ = group.Target(2).lag_ = 5ms;
  group.Run(20s);
  CHECK(group.Do({}).outcome_ == kDone);
  CHECK(group.Violations().empty());
}

TEST_CASE("reads see the session's own writes", "[traffic]")
{
  struct Row
  {
    Duration lag_;
    Duration later_;
    bool byReplica_;
  };
  const auto row = GENERATE(values<Row>({
    { 5ms, 0ms, true },
    { 40ms, 0ms, true },
    { 2min, 0ms, false },
    { 2s, 5s, true },
  }));
  FakeGroup group(Settings{}, 3, 3);
  // B has little lag, so that writes are acknowledged, but serves no reads.
  group.Target(2).lag_ = row.lag_;
  group.SetUp();
  group.Target(1).lag_ = 5ms;
  REQUIRE(group.Do({}).outcome_ == kDone);
  group.Target(1).draining_ = true;
  group.Announce();
  group.Run(row.later_);
  const auto finish = group.Do({ .class_ = kRead });
  CHECK(finish.outcome_ == kDone);
  CHECK(finish.byReplica_ == row.byReplica_);
  CHECK(group.Violations().empty());
}

TEST_CASE("a floor ahead of the log is rejected in bounded time", "[traffic]")
{
  const LogPosition floor =
    GENERATE(LogPosition{ 1, 1U << 30 }, LogPosition{ 9, 0 });
  const bool granted = GENERATE(true, false);
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  if (!granted) {
    group.KeepGrant(false);
    group.Run(1s);
  }
  const Instant begun = group.Now();
  const auto finish =
    group.Do({ .class_ = kRead, .deadline_ = 10s, .floor_ = floor });
  CHECK(finish.outcome_ == kNotRun);
  CHECK(finish.retryAfter_ > 0ms);
  CHECK(group.Now() - begun <= 150ms);
  CHECK(group.Violations().empty());
}

TEST_CASE("a rebuilt replica's response is discarded", "[traffic]")
{
  Settings settings;
  settings.guards_.probeWithRead_ = GENERATE(true, false);
  FakeGroup group(settings, 2, 3);
  group.SetUp();
  REQUIRE(group.Do({}).outcome_ == kDone);
  group.Run(300ms);
  group.Rebuild(1, false);
  const auto finish = group.Do({ .class_ = kRead });
  CHECK(finish.outcome_ == kDone);
  if (settings.guards_.probeWithRead_) {
    CHECK(group.Violations().empty());
    CHECK(finish.servedBy_ == "a");
    CHECK(group.state_.counters_.answersDropped_ == 1);
  } else {
    CHECK(finish.servedBy_ == "b");
  }
}

TEST_CASE("a rebuilt replica does not count for acknowledgements", "[traffic]")
{
  Settings settings;
  settings.guards_.incarnation_ = GENERATE(true, false);
  FakeGroup group(settings, 3, 3);
  group.SetUp();
  REQUIRE(group.Do({}).outcome_ == kDone);
  group.Target(2).lag_ = 5s;
  group.Rebuild(1);
  group.Target(1).log_ = group.Target(0).log_;
  group.Run(1s);
  // The rebuilt replica follows the primary, but has not been admitted again.
  const auto finish = group.Do({});
  CHECK((finish.outcome_ == kDone) == !settings.guards_.incarnation_);
}

TEST_CASE("a replica that adopted a term may lack the term's log", "[traffic]")
{
  Settings settings;
  settings.guards_.writtenTerm_ = GENERATE(true, false);
  FakeGroup group(settings, 3, 3);
  group.SetUp();
  group.Target(2).lag_ = 1h;
  REQUIRE(group.Do({}).outcome_ == kDone);
  // B is the primary of term 2. C adopts the term immediately but lacks the
  // acknowledged write.
  group.KeepGrant(false);
  group.Run(1s);
  group.Target(0).down_ = true;
  group.BreakConnections(0);
  group.Promote(1);
  group.Announce();
  group.Grant(500ms);
  group.KeepGrant(true);
  group.Run(500ms);
  const auto finish = group.Do({ .class_ = kRead });
  CHECK(finish.outcome_ == kDone);
  if (settings.guards_.writtenTerm_) {
    CHECK(finish.servedBy_ == "b");
    CHECK(group.Violations().empty());
  } else {
    CHECK(finish.servedBy_ == "c");
    CHECK_FALSE(group.violations_.empty());
  }
}

TEST_CASE("a former primary with a diverged tail gets no reads", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  REQUIRE(group.Do({}).outcome_ == kDone);
  group.Target(1).lag_ = group.Target(2).lag_ = 1h;
  CHECK(group.Do({}).outcome_ != kDone);
  group.KeepGrant(false);
  group.Run(1s);
  group.Target(1).lag_ = group.Target(2).lag_ = 0ms;
  group.Target(1).log_.pop_back();
  group.Target(2).log_.pop_back();
  group.Promote(1);
  group.Announce();
  group.Run(1s);
  for (const auto& row :
       ExplainRead(group.state_, { 1, 100 }, std::nullopt, group.Now())) {
    CHECK(row.eligible_ == (row.target_ != "a"));
  }
}

TEST_CASE("before the first grant an owner connects only without a leader",
          "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.noLeaderSinceStart_ = GENERATE(false, true);
  group.Announce();
  group.Run(1s);
  const auto finish = group.Do({ .class_ = kRead, .floor_ = { { 1, 0 } } });
  CHECK(finish.outcome_ == (group.noLeaderSinceStart_ ? kDone : kNotRun));
  CHECK((group.Target(1).connections_ > 0) == group.noLeaderSinceStart_);
  CHECK(group.Do({}).outcome_ == kNotRun);
}

TEST_CASE("reads respect their staleness bound", "[traffic]")
{
  struct Row
  {
    Duration lag_, age_;
    bool granted_;
    wire::Outcome outcome_;
    bool byReplica_;
  };
  const auto row = GENERATE(values<Row>({
    { 5ms, 5s, true, kDone, true },
    { 2s, 5s, true, kDone, true },
    { 2s, 1s, true, kDone, false },
    { 5ms, 5s, false, kDone, true },
    { 5ms, 500ms, false, kNotRun, false },
  }));
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Target(1).lag_ = group.Target(2).lag_ = row.lag_;
  for (SessionId session = 2; session < 42; ++session) {
    group.Send({ .session_ = session, .deadline_ = 5s });
    group.Run(100ms);
  }
  if (!row.granted_) {
    // The owner is cut off from the control leader: its grant has expired, but
    // the replicas are reachable.
    group.KeepGrant(false);
    group.Run(1500ms);
  }
  const auto finish = group.Do(
    { .class_ = kRead, .maxAge_ = row.age_, .needsFreshFloor_ = true });
  CHECK(finish.outcome_ == row.outcome_);
  CHECK(finish.byReplica_ == row.byReplica_);
}

TEST_CASE("a session without a token sees all earlier writes", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.Target(1).lag_ = group.Target(2).lag_ = 30ms;
  group.SetUp();
  REQUIRE(group.Do({}).outcome_ == kDone);
  REQUIRE(group.Do({}).outcome_ == kDone);
  const auto finish =
    group.Do({ .session_ = 2, .class_ = kRead, .needsFreshFloor_ = true });
  CHECK(finish.outcome_ == kDone);
  CHECK(finish.position_ == LogPosition{ 1, 200 });
  group.KeepGrant(false);
  group.Run(1s);
  CHECK(group.Do({ .session_ = 3, .class_ = kRead, .needsFreshFloor_ = true })
          .outcome_ == kNotRun);
}

TEST_CASE("a read that writes is sent to the primary once", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  const auto finish = group.Do({ .class_ = kRead, .writes_ = true });
  CHECK(finish.outcome_ == kDone);
  CHECK(finish.servedBy_ == "a");
  CHECK(finish.position_ == LogPosition{ 1, 100 });
  CHECK(group.Violations().empty());
}

TEST_CASE("unresponsive connections are closed, their target stays in use",
          "[traffic]")
{
  FakeGroup group(Settings{}, 2, 2);
  group.SetUp();
  group.FreezeConnections(1);
  const Instant begun = group.Now();
  const auto finish = group.Do({ .class_ = kRead, .deadline_ = 5s });
  CHECK(finish.outcome_ == kDone);
  CHECK(group.Now() - begun <= 3s);
  group.Run(5s);
  CHECK(group.state_.counters_.unresponsiveConnections_ >= 1);
  CHECK(group.Do({ .class_ = kRead }).byReplica_);
  CHECK(group.Violations().empty());
}

TEST_CASE("dead idle connections get no writes", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.FreezeConnections(0);
  group.Run(8s);
  CHECK(group.Do({}).outcome_ == kDone);
  CHECK(group.Violations().empty());
}

TEST_CASE("an unreachable target is reported within a second", "[traffic]")
{
  const bool refuses = GENERATE(true, false);
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Target(0).down_ = refuses;
  group.Target(0).frozen_ = !refuses;
  group.Run(1s);
  for (const auto& report : CollectReports(group.state_, group.Now())) {
    CHECK(report.reachable() == (report.target() != "a"));
  }
}

TEST_CASE("connections beyond a reduced share are closed", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  for (SessionId session = 1; session <= 2; ++session) {
    group.Do({ .session_ = session, .class_ = kBegin });
  }
  group.Run(20ms);
  CHECK(group.Target(0).connections_ == 3);
  group.Grant(500ms, 1);
  CHECK(group.Target(0).connections_ == 2);
  for (SessionId session = 1; session <= 2; ++session) {
    group.Do({ .session_ = session, .class_ = kRollback });
  }
  CHECK(group.Target(0).connections_ == 1);
  CHECK(group.Violations().empty());
}

TEST_CASE("an idle group rarely wakes its thread", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.ticks_ = 0;
  group.Run(10s);
  // Three probes every 250 ms, and a check of nine connections every 2 s.
  CHECK(group.ticks_ <= 3 * 40 + 9 * 5 + 5);
  CHECK(group.Violations().empty());
}

TEST_CASE("a draining target gets no new statements", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Do({ .class_ = kBegin });
  group.Target(0).usable_ = false;
  group.Target(1).draining_ = true;
  group.Announce();
  for (SessionId session = 2; session < 12; ++session) {
    CHECK(group.Do({ .session_ = session, .class_ = kRead }).servedBy_ == "c");
  }
  CHECK(group.Do({ .session_ = 2 }).outcome_ == kNotRun);
  CHECK(group.Do({ .class_ = kCommit }).outcome_ == kDone);
  CHECK(group.Target(1).connections_ == 0);
  CHECK(group.Target(0).connections_ == 0);
  CHECK(group.Violations().empty());
}

} // namespace wigeonlb::core::traffic::tests
