#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

constexpr auto kDone = wire::OUTCOME_DONE;
constexpr auto kNotRun = wire::OUTCOME_NOT_RUN;
constexpr auto kUnknown = wire::OUTCOME_UNKNOWN;
constexpr auto kRead = wire::STATEMENT_READ;
constexpr auto kPrimaryRead = wire::STATEMENT_PRIMARY_READ;
constexpr auto kWrite = wire::STATEMENT_WRITE;
constexpr auto kBegin = wire::STATEMENT_BEGIN;
constexpr auto kCommit = wire::STATEMENT_COMMIT;
constexpr auto kRollback = wire::STATEMENT_ROLLBACK;

} // namespace

TEST_CASE("the end of the grant decides the outcome of a write", "[traffic]")
{
  struct Row
  {
    bool dispatch_, acknowledgement_;
    wire::Outcome before_, after_;
  };
  // Before: sent to the primary under the grant, which ends while the write
  // waits for a majority. After: sent by the caller after the grant has ended.
  const auto row = GENERATE(values<Row>({
    { true, true, kUnknown, kNotRun },
    { false, true, kUnknown, kUnknown },
    { true, false, kDone, kNotRun },
    { false, false, kDone, kDone },
  }));
  Settings settings;
  settings.guards_.grantAtDispatch_ = row.dispatch_;
  settings.guards_.grantAtAcknowledgement_ = row.acknowledgement_;
  FakeGroup group(settings, 3, 3);
  group.SetUp();
  group.Target(1).lag_ = group.Target(2).lag_ = 200ms;
  group.KeepGrant(false);
  group.Grant(100ms);
  CHECK(group.Do({}).outcome_ == row.before_);
  group.Run(500ms);
  CHECK(group.Do({}).outcome_ == row.after_);
  CHECK(group.violations_.empty() == row.acknowledgement_);
}

TEST_CASE("a revoked term is drained, then released", "[traffic]")
{
  struct Row
  {
    Duration lag_;
    std::optional<Duration> drain_;
    wire::Outcome outcome_;
    Duration releasedWithin_;
    Duration frozenFor_{ 0 }; //!< of the primary before the revocation
  };
  const auto row = GENERATE(values<Row>({
    { 40ms, std::nullopt, kDone, 60ms },
    { 400ms, std::nullopt, kUnknown, 151ms },
    { 400ms, Duration(2s), kDone, 460ms },
    { 3s, std::nullopt, kUnknown, 1ms, 760ms },
    { 3s, std::nullopt, kUnknown, 1ms, 520ms },
    { 3s, std::nullopt, kUnknown, 151ms, 100ms },
    { 3s, Duration(2s), kUnknown, 1ms, 760ms },
  }));
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Target(1).lag_ = group.Target(2).lag_ = row.lag_;
  const auto id = group.Send({ .deadline_ = 5s });
  group.Run(8ms);
  group.Target(0).frozen_ = row.frozenFor_ > Duration::zero();
  group.Run(row.frozenFor_);
  group.Feed(StopNewWrites{ 1, true, row.drain_ });
  CHECK(group.Do({ .session_ = 2 }).outcome_ == kNotRun);
  const Instant begun = group.Now();
  while (group.released_ == 0 && group.Now() - begun < 5s) {
    group.Grant(500ms);
    group.Run(1ms);
  }
  CHECK(group.Now() - begun <= row.releasedWithin_);
  CHECK(group.results_.at(id).finish_.outcome_ == row.outcome_);
  // A late renewal does not make the term valid again.
  group.Grant(500ms);
  CHECK(group.Do({ .session_ = 2 }).outcome_ == kNotRun);
  CHECK(group.Violations().empty());
}

TEST_CASE("after some time without a grant another owner is advised",
          "[traffic]")
{
  const bool inTransaction = GENERATE(false, true);
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  if (inTransaction) {
    group.Do({ .class_ = kBegin });
  }
  group.KeepGrant(false);
  group.Run(1s);
  CHECK_FALSE(group.Do({ .session_ = 2 }).tryAnotherOwner_);
  group.Run(1500ms);
  const auto finish = group.Do({ .session_ = inTransaction ? 1U : 2U });
  CHECK(finish.tryAnotherOwner_ == !inTransaction);
  CHECK((inTransaction || finish.outcome_ == kNotRun));
  group.KeepGrant(true);
  group.Grant(500ms);
  CHECK(group.Do({ .session_ = 3 }).outcome_ == kDone);
  CHECK(group.Violations().empty());
}

TEST_CASE("a term that was not renewed, but not revoked, may be issued again",
          "[traffic]")
{
  const bool revoked = GENERATE(false, true);
  const Duration later = GENERATE(Duration(20ms), Duration(400ms));
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.KeepGrant(false);
  group.Feed(StopNewWrites{ 1, revoked, std::nullopt });
  CHECK(group.Do({}).outcome_ == kNotRun);
  group.Run(later);
  group.Grant(500ms);
  CHECK(group.Do({}).outcome_ == (revoked ? kNotRun : kDone));
  CHECK(group.Violations().empty());
}

TEST_CASE("a transaction has a connection of its own", "[traffic]")
{
  struct Row
  {
    wire::StatementClass inside_, end_;
    Duration lag_;
    wire::Outcome outcome_;
    bool writes_ = false; //!< the read writes despite its class
  };
  const auto row = GENERATE(values<Row>({
    { kWrite, kCommit, 5ms, kDone },
    { kWrite, kRollback, 5ms, kDone },
    { kWrite, kRollback, 1h, kDone },
    { kRead, kCommit, 1h, kDone },
    { kWrite, kCommit, 1h, kUnknown },
    { kRead, kCommit, 5ms, kDone, true },
    { kRead, kRollback, 1h, kDone, true },
    { kRead, kCommit, 1h, kUnknown, true },
  }));
  FakeGroup group(Settings{}, 3, 2);
  group.SetUp();
  group.Target(1).lag_ = group.Target(2).lag_ = row.lag_;
  REQUIRE(group.Do({ .class_ = kBegin }).transactionStatus_ == 'T');
  CHECK(CollectGauges(group.state_).openTransactions_ == 1);
  CHECK(group.Do({ .class_ = row.inside_, .writes_ = row.writes_ })
          .transactionStatus_ == 'T');
  CHECK(group.Do({ .session_ = 2, .class_ = kRead }).outcome_ == kDone);
  const auto end = group.Do({ .class_ = row.end_ });
  CHECK(end.outcome_ == row.outcome_);
  CHECK(end.transactionStatus_ == 'I');
  CHECK(CollectGauges(group.state_).openTransactions_ == 0);
  CHECK(group.Violations().empty());
}

TEST_CASE("a read that turns out to write is acknowledged as a write",
          "[traffic]")
{
  struct Row
  {
    wire::StatementClass class_;
    bool writes_;
    Duration lag_;
    wire::Outcome outcome_;
  };
  const auto row = GENERATE(values<Row>({
    { kRead, false, 5ms, kDone },
    { kRead, false, 1h, kDone },
    { kRead, true, 5ms, kDone },
    { kRead, true, 1h, kUnknown },
    { kPrimaryRead, false, 5ms, kDone },
    { kPrimaryRead, false, 1h, kDone },
    { kPrimaryRead, true, 5ms, kDone },
    { kPrimaryRead, true, 1h, kUnknown },
    { kWrite, true, 5ms, kDone },
    { kWrite, true, 1h, kUnknown },
  }));
  FakeGroup group(Settings{}, 3, 2);
  group.SetUp();
  // With this floor, reads can fall back to the primary.
  const auto floor = group.Do({ .class_ = kWrite }).position_;
  group.Target(1).lag_ = group.Target(2).lag_ = row.lag_;
  const auto finish =
    group.Do({ .class_ = row.class_, .floor_ = floor, .writes_ = row.writes_ });
  CHECK(finish.outcome_ == row.outcome_);
  const bool acknowledged = row.writes_ && row.outcome_ == kDone;
  CHECK((finish.position_ > floor) == acknowledged);
  CHECK(group.Violations().empty());
}

TEST_CASE("a lost transaction is reported and can be ended", "[traffic]")
{
  struct Row
  {
    wire::StatementClass end_;
    wire::Outcome outcome_;
    std::string sqlstate_;
  };
  const auto row = GENERATE(values<Row>({
    // Treated as a ROLLBACK, because the caller has received the error.
    { kCommit, kDone, "" },
    { kRollback, kDone, "" },
  }));
  const bool byGrant = GENERATE(true, false);
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Do({ .class_ = kBegin });
  group.Do({});
  if (byGrant) {
    group.KeepGrant(false);
    group.Run(1s);
  } else {
    group.BreakConnections(0);
  }
  const auto inside = group.Do({});
  CHECK(inside.sqlstate_ == "25P02");
  CHECK(inside.transactionStatus_ == 'E');
  const auto end = group.Do({ .class_ = row.end_ });
  CHECK(end.outcome_ == row.outcome_);
  CHECK(end.sqlstate_ == row.sqlstate_);
  CHECK(end.transactionStatus_ == 'I');
  CHECK_FALSE(end.passTargetAnswer_);
  CHECK(group.Violations().empty());
}

TEST_CASE("a COMMIT never hides a lost transaction", "[traffic]")
{
  struct Row
  {
    bool errorReported_;
    wire::Outcome outcome_;
    std::string sqlstate_;
  };
  const auto row = GENERATE(values<Row>({
    { true, kDone, "" },
    { false, kNotRun, "40000" },
  }));
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Do({ .class_ = kBegin });
  group.Do({});
  group.BreakConnections(0);
  if (row.errorReported_) {
    CHECK(group.Do({}).transactionStatus_ == 'E');
  }
  const auto end = group.Do({ .class_ = kCommit });
  CHECK(end.outcome_ == row.outcome_);
  CHECK(end.sqlstate_ == row.sqlstate_);
  CHECK_FALSE(end.passTargetAnswer_);
  CHECK(end.position_.term_ == 0);
  CHECK(group.Violations().empty());
}

TEST_CASE("an abandoned transaction commits nothing", "[traffic]")
{
  const auto last = GENERATE(kWrite, kCommit);
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Do({ .class_ = kBegin });
  group.Do({});
  group.Revoke();
  group.KeepGrant(false);
  group.Target(0).frozen_ = true;
  const auto id = group.Send({ .class_ = last, .deadline_ = 100ms });
  group.Run(400ms);
  const auto& finish = group.results_.at(id).finish_;
  CHECK(finish.outcome_ != kDone);
  CHECK(finish.transactionStatus_ == (last == kCommit ? 'I' : 'E'));
  CHECK(group.Target(0).log_.empty());
  CHECK(CollectGauges(group.state_).openTransactions_ == 0);
  CHECK(group.Violations().empty());
}

TEST_CASE("an open transaction keeps its slot", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 1);
  group.SetUp();
  group.Do({ .class_ = kBegin });
  group.Do({});
  // If it were sent, it would wait on the target for the transaction's lock,
  // while the COMMIT would wait here for its slot.
  const auto other = group.Send({ .session_ = 2 });
  group.Run(20ms);
  CHECK_FALSE(group.timesSent_.contains(other));
  CHECK(group.Do({ .class_ = kCommit }).outcome_ == kDone);
  group.Run(20ms);
  CHECK(group.results_.at(other).finish_.outcome_ == kDone);
  CHECK(group.Violations().empty());
}

TEST_CASE("only as many idle transactions expire as slots are needed",
          "[traffic]")
{
  FakeGroup group(Settings{}, 3, 2);
  group.SetUp();
  group.Do({ .session_ = 1, .class_ = kBegin });
  group.Run(500ms);
  group.Do({ .session_ = 2, .class_ = kBegin });
  group.Run(3s);
  CHECK(CollectGauges(group.state_).openTransactions_ == 2);
  CHECK(group.Do({ .session_ = 3 }).outcome_ == kDone);
  CHECK(CollectGauges(group.state_).openTransactions_ == 1);
  CHECK(group.Do({ .session_ = 1, .class_ = kRead }).sqlstate_ == "25P03");
  CHECK(group.Do({ .session_ = 2, .class_ = kCommit }).outcome_ == kDone);
  CHECK(group.Violations().empty());
}

TEST_CASE("a write does not run twice after a lost connection", "[traffic]")
{
  struct Row
  {
    bool repeatable_, rowsForwarded_, guarded_;
    wire::Outcome outcome_;
    int times_;
  };
  const auto row = GENERATE(values<Row>({
    { false, false, true, kUnknown, 1 },
    { true, false, true, kDone, 2 },
    { true, true, true, kUnknown, 1 },
    { false, false, false, kDone, 2 },
  }));
  Settings settings;
  settings.guards_.singleDispatch_ = row.guarded_;
  FakeGroup group(settings, 3, 3);
  group.SetUp();
  const auto id = group.Send({ .repeatable_ = row.repeatable_ });
  group.Run(1ms);
  group.BreakConnections(0, row.rowsForwarded_);
  group.Run(500ms);
  CHECK(group.results_.at(id).finish_.outcome_ == row.outcome_);
  CHECK(group.timesSent_.at(id) == row.times_);
  CHECK(group.violations_.empty() == row.guarded_);
}

TEST_CASE("a connection is not reused after a cancel or disconnect",
          "[traffic]")
{
  const bool cancel = GENERATE(true, false);
  Settings settings;
  settings.guards_.closeAfterCancel_ = GENERATE(true, false);
  FakeGroup group(settings, 3, 3);
  group.Target(0).service_ = 50ms;
  group.SetUp();
  const auto before = group.state_.counters_.connectionsOpened_;
  const auto id = group.Send({});
  group.Run(5ms);
  if (cancel) {
    group.Feed(CancelRequested{ 1 });
  } else {
    group.Feed(SessionClosed{ 1 });
  }
  group.Run(200ms);
  const bool closed = !cancel || settings.guards_.closeAfterCancel_;
  CHECK(group.state_.counters_.connectionsOpened_ - before == (closed ? 1 : 0));
  REQUIRE(group.results_.contains(id) == cancel);
  if (cancel) {
    CHECK(group.results_.at(id).finish_.outcome_ == wire::OUTCOME_FAILED);
    CHECK(group.results_.at(id).finish_.sqlstate_ == "57014");
  }
  CHECK(group.Violations().empty());
}

TEST_CASE("a caller that disconnects releases its connection", "[traffic]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  for (SessionId session = 1; session <= 20; ++session) {
    REQUIRE(group.Do({ .session_ = session, .class_ = kBegin }).outcome_ ==
            kDone);
    group.Feed(SessionClosed{ session });
    group.Run(20ms);
  }
  CHECK(CollectGauges(group.state_).openTransactions_ == 0);
  CHECK(group.Violations().empty());
}

TEST_CASE("writes resume soon after connections became unresponsive",
          "[traffic]")
{
  const std::uint32_t slots = GENERATE(1, 3);
  FakeGroup group(Settings{}, 3, slots);
  group.SetUp();
  std::vector<RequestId> sent;
  for (SessionId session = 1; session <= 1000; ++session) {
    if (session == 200) {
      group.FreezeConnections(0);
    }
    sent.push_back(group.Send({ .session_ = session, .deadline_ = 4s }));
    group.Run(10ms);
  }
  group.Run(4s);
  std::set<Instant> done;
  for (const auto& id : sent) {
    if (group.results_.at(id).finish_.outcome_ == kDone) {
      done.insert(group.results_.at(id).at_);
    }
  }
  Duration gap{ 0 };
  for (auto at = done.begin(); std::next(at) != done.end(); ++at) {
    gap = std::max(gap, *std::next(at) - *at);
  }
  CHECK(gap <= 1400ms);
  CHECK(group.Violations().empty());
}

} // namespace wigeonlb::core::traffic::tests
