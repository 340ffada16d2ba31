#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

constexpr auto kDone = wire::OUTCOME_DONE;
constexpr auto kNotRun = wire::OUTCOME_NOT_RUN;
constexpr auto kWrite = wire::STATEMENT_WRITE;
constexpr auto kRead = wire::STATEMENT_READ;
constexpr auto kPrimaryRead = wire::STATEMENT_PRIMARY_READ;
constexpr auto kBegin = wire::STATEMENT_BEGIN;
constexpr auto kCommit = wire::STATEMENT_COMMIT;
constexpr auto kRollback = wire::STATEMENT_ROLLBACK;

// What the owner knows of a transaction when its entry host gives it up.
enum class State
{
  Open,
  Written,
  Aborted,
};

void
BeginTransaction(FakeGroup& aGroup, State aState)
{
  REQUIRE(aGroup.Do({ .class_ = kBegin }).transactionStatus_ == 'T');
  if (aState == State::Written) {
    REQUIRE(aGroup.Do({ .class_ = kWrite }).transactionStatus_ == 'T');
  }
  if (aState == State::Aborted) {
    aGroup.BreakConnections(0);
    aGroup.Run(100ms);
  }
}

std::size_t
CountWrites(FakeGroup& aGroup)
{
  return aGroup.Target(0).log_.size();
}

} // namespace

TEST_CASE("a statement does not run in a transaction that its entry host has "
          "given up",
          "[transactions]")
{
  struct Row
  {
    wire::StatementClass class_;
    char status_;
    std::size_t writes_;
  };
  const auto row = GENERATE(values<Row>({
    { kWrite, 'I', 1 },
    { kRead, 'I', 0 },
    { kPrimaryRead, 'I', 0 },
    { kBegin, 'T', 0 },
    { kCommit, 'I', 0 },
    { kRollback, 'I', 0 },
  }));
  const State state = GENERATE(State::Open, State::Written, State::Aborted);
  FakeGroup group(Settings{}, 2, 3);
  group.SetUp();
  BeginTransaction(group, state);
  group.GiveUp(1);
  const Finish finish = group.Do({ .class_ = row.class_ });
  CHECK(finish.outcome_ == kDone);
  CHECK(finish.transactionStatus_ == row.status_);
  CHECK(CountWrites(group) == row.writes_);
  CHECK(group.Violations().empty());
}

TEST_CASE("a statement does not run in another transaction of its session",
          "[transactions]")
{
  struct Row
  {
    wire::StatementClass class_;
    wire::Outcome outcome_;
    std::string sqlstate_;
    char status_;
  };
  const auto row = GENERATE(values<Row>({
    { kWrite, kNotRun, "25P02", 'E' },
    { kPrimaryRead, kNotRun, "25P02", 'E' },
    { kCommit, kNotRun, "40000", 'I' },
    { kRollback, kDone, "", 'I' },
  }));
  const State state = GENERATE(State::Open, State::Written, State::Aborted);
  FakeGroup group(Settings{}, 2, 3);
  group.SetUp();
  BeginTransaction(group, state);
  group.GiveUp(1);
  constexpr std::uint64_t kOther = 77;
  const Finish finish =
    group.Do({ .class_ = row.class_, .transaction_ = kOther });
  CHECK(finish.outcome_ == row.outcome_);
  CHECK(finish.sqlstate_ == row.sqlstate_);
  CHECK(finish.transactionStatus_ == row.status_);
  CHECK(CountWrites(group) == 0);
  CHECK(group.Violations().empty());
}

TEST_CASE("a new transaction does not continue one that was given up",
          "[transactions]")
{
  FakeGroup group(Settings{}, 2, 3);
  group.SetUp();
  BeginTransaction(group, State::Written);
  group.GiveUp(1);
  REQUIRE(group.Do({ .class_ = kBegin }).transactionStatus_ == 'T');
  REQUIRE(group.Do({ .class_ = kWrite }).transactionStatus_ == 'T');
  CHECK(group.Do({ .class_ = kCommit }).outcome_ == kDone);
  CHECK(CountWrites(group) == 1);
  CHECK(group.Violations().empty());
}

TEST_CASE("a request that its entry host has given up does not block the next "
          "one",
          "[transactions]")
{
  struct Row
  {
    wire::StatementClass class_;
    bool inTransaction_;
    Duration givenUpAfter_;
  };
  // After 1 ms it runs at the target, after 6 ms a write waits for a majority.
  const auto row = GENERATE(values<Row>({
    { kWrite, false, 0ms },
    { kWrite, false, 1ms },
    { kWrite, false, 6ms },
    { kRead, false, 1ms },
    { kBegin, false, 1ms },
    { kWrite, true, 1ms },
    { kCommit, true, 1ms },
    { kCommit, true, 6ms },
  }));
  Settings settings;
  FakeGroup group(settings, 3, 3);
  group.SetUp();
  group.Target(1).lag_ = group.Target(2).lag_ = 40ms;
  if (row.inTransaction_) {
    BeginTransaction(group, State::Written);
  }
  group.Send({ .class_ = row.class_ });
  group.Run(row.givenUpAfter_);
  group.GiveUp(1);
  const Finish next = group.Do({ .class_ = kWrite });
  CHECK(next.outcome_ == kDone);
  CHECK(next.transactionStatus_ == 'I');
  CHECK(group.CountUnfinished({}) == 0);
  CHECK(group.Violations().empty());
}

TEST_CASE("a late request is refused and does not disturb a later one",
          "[transactions]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  const RequestId later = group.Send({ .class_ = kWrite });
  RequestArrived late;
  late.id_ = { later.session_, later.request_ - 1 };
  late.deadline_ = group.Now() + 1s;
  std::vector<TrafficAction> actions;
  Step(group.state_, late, group.Now(), actions);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<Finish>(actions[0]).sqlstate_ == "08P01");
  group.Run(100ms);
  CHECK(group.results_.at(later).finish_.outcome_ == kDone);
}

} // namespace wigeonlb::core::traffic::tests
