#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

constexpr auto kDone = wire::OUTCOME_DONE;
constexpr auto kNotRun = wire::OUTCOME_NOT_RUN;
constexpr auto kBegin = wire::STATEMENT_BEGIN;
constexpr auto kCommit = wire::STATEMENT_COMMIT;
constexpr auto kRollback = wire::STATEMENT_ROLLBACK;

} // namespace

TEST_CASE("the group's options limit concurrency and queue length", "[traffic]")
{
  struct Row
  {
    std::map<std::string, std::string> options_;
    std::size_t sent_; //!< of four writes with three slots
    std::size_t refused_;
  };
  const auto row = GENERATE(values<Row>({
    { {}, 3, 0 },
    { { { "concurrency", "2" } }, 2, 0 },
    { { { "concurrency", "9" } }, 3, 0 },
    { { { "concurrency", "1" }, { "queue", "2" } }, 1, 1 },
  }));
  FakeGroup group(Settings{}, 3, 3);
  group.options_ = row.options_;
  group.SetUp();
  std::size_t refused = 0;
  for (SessionId session = 1; session <= 4; ++session) {
    const auto id = group.Send({ .session_ = session });
    refused += group.results_.contains(id) ? 1 : 0;
  }
  const auto sent = std::ranges::count_if(
    group.timesSent_, [](const auto& aEntry) { return aEntry.second > 0; });
  CHECK(sent == static_cast<std::ptrdiff_t>(row.sent_));
  CHECK(refused == row.refused_);
  group.Run(200ms);
  CHECK(group.Violations().empty());
}

TEST_CASE("a frozen primary is unreachable after suspect_after", "[traffic]")
{
  const auto [text, limit] = GENERATE(table<std::string, Duration>(
    { { "", 500ms }, { "200ms", 200ms }, { "900ms", 900ms } }));
  FakeGroup group(Settings{}, 3, 3);
  if (!text.empty()) {
    group.options_["suspect_after"] = text;
  }
  group.SetUp();
  group.Target(0).frozen_ = true;
  const Instant frozenAt = group.Now();
  const auto reachable = [&group] {
    const auto reports = CollectReports(group.state_, group.Now());
    return reports.at(0).reachable();
  };
  while (reachable() && group.Now() - frozenAt < 5s) {
    group.Run(5ms);
  }
  CHECK(group.Now() - frozenAt >= limit);
  CHECK(group.Now() - frozenAt <= limit + Settings{}.idleProbeInterval_ + 5ms);
}

TEST_CASE("an idle transaction is rolled back", "[traffic]")
{
  struct Row
  {
    bool contended_;
    std::map<std::string, std::string> options_;
    Duration limit_;
  };
  const auto row = GENERATE(values<Row>({
    { false, {}, 30s },
    { false, { { "idle_transaction", "7s" } }, 7s },
    { true, {}, 2s },
    { true, { { "idle_transaction_contended", "4s" } }, 4s },
    { true, { { "idle_transaction", "1s" } }, 1s },
  }));
  FakeGroup group(Settings{}, 3, 1);
  group.options_ = row.options_;
  group.SetUp();
  group.Do({ .class_ = kBegin });
  CHECK(group.Do({}).transactionStatus_ == 'T');
  const Instant idleSince = group.Now();
  RequestId waiting;
  if (row.contended_) {
    waiting = group.Send({ .session_ = 2, .deadline_ = 20s });
  }
  group.Run(row.limit_ - 100ms);
  CHECK(CollectGauges(group.state_).openTransactions_ == 1);
  group.Run(200ms);
  CHECK(CollectGauges(group.state_).openTransactions_ == 0);
  if (row.contended_) {
    CHECK(group.results_.at(waiting).finish_.outcome_ == kDone);
    CHECK(group.results_.at(waiting).at_ - idleSince <= row.limit_ + 100ms);
  }
  SECTION("the next statement fails with the reason and is not run")
  {
    CHECK(group.Do({}).sqlstate_ == "25P03");
    CHECK(group.Do({}).sqlstate_ == "25P02");
    CHECK(group.Do({ .class_ = kRollback }).outcome_ == kDone);
  }
  SECTION("a COMMIT fails with the reason, and nothing is committed")
  {
    const auto commit = group.Do({ .class_ = kCommit });
    CHECK(commit.outcome_ == kNotRun);
    CHECK(commit.sqlstate_ == "25P03");
    CHECK(group.Target(0).log_.size() == (row.contended_ ? 1 : 0));
  }
  CHECK(group.Violations().empty());
}

} // namespace wigeonlb::core::traffic::tests
