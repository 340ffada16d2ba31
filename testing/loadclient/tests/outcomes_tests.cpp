#include <catch2/catch.hpp>

#include "testing/loadclient/outcomes.h"

namespace wigeonlb::testing::loadclient {

namespace {

Instant
At(std::int64_t aMicroseconds)
{
  return Instant(Duration(aMicroseconds));
}

} // namespace

TEST_CASE("each SQLSTATE is mapped to an outcome", "[outcomes]")
{
  struct Row
  {
    std::string sqlstate_;
    Outcome outcome_;
  };
  const auto row = GENERATE(values<Row>({
    { "", Outcome::Done },
    { "57P03", Outcome::NotRun },
    { "57P01", Outcome::NotRun },
    { "53300", Outcome::NotRun },
    { "08007", Outcome::Unknown },
    { "08006", Outcome::Unknown },
    { "23505", Outcome::Failed },
    { "40001", Outcome::Failed },
  }));
  CHECK(OutcomeFromSqlstate(row.sqlstate_) == row.outcome_);
}

TEST_CASE("the ledger is checked against the outcome of each write",
          "[outcomes]")
{
  struct Row
  {
    Outcome outcome_;
    std::uint64_t count_;
    std::vector<std::uint64_t> violations_; // missing, doubled, not run, failed
  };
  using Violations = std::vector<std::uint64_t>;
  const auto row = GENERATE(values<Row>({
    { Outcome::Done, 0, Violations{ 1, 0, 0, 0 } },
    { Outcome::Done, 1, Violations{ 0, 0, 0, 0 } },
    { Outcome::Done, 2, Violations{ 0, 1, 0, 0 } },
    { Outcome::NotRun, 0, Violations{ 0, 0, 0, 0 } },
    { Outcome::NotRun, 1, Violations{ 0, 0, 1, 0 } },
    { Outcome::Unknown, 0, Violations{ 0, 0, 0, 0 } },
    { Outcome::Unknown, 1, Violations{ 0, 0, 0, 0 } },
    { Outcome::Unknown, 2, Violations{ 0, 1, 0, 0 } },
    { Outcome::Failed, 0, Violations{ 0, 0, 0, 0 } },
    { Outcome::Failed, 1, Violations{ 0, 0, 0, 1 } },
  }));
  const Write write{ "a", 1, row.outcome_, At(0) };
  std::map<std::string, std::uint64_t> counts{ { "other", 3 } };
  if (row.count_ > 0) {
    counts["a"] = row.count_;
  }
  const auto check = CheckLedger({ &write, 1 }, counts);
  CHECK(Violations{ check.missing_,
                    check.doubled_,
                    check.notRunPresent_,
                    check.failedPresent_ } == row.violations_);
}

TEST_CASE("a read beyond the maximum staleness is detected", "[outcomes]")
{
  const std::vector<Write> writes{ { "a", 1, Outcome::Done, At(100) },
                                   { "b", 2, Outcome::Unknown, At(200) },
                                   { "c", 3, Outcome::Done, At(300) } };
  struct Row
  {
    std::uint64_t seen_;
    std::int64_t sentAt_;
    bool tooOld_;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 150, false },
    { 0, 151, true },
    { 1, 350, false },
    { 1, 351, true },
    { 3, 900, false },
  }));
  CHECK(IsTooOld(writes, row.seen_, At(row.sentAt_), Duration(50)) ==
        row.tooOld_);
}

TEST_CASE("only acknowledged writes end a write gap", "[outcomes]")
{
  const std::vector<Write> writes{ { "a", 1, Outcome::Done, At(30) },
                                   { "b", 2, Outcome::Unknown, At(50) },
                                   { "c", 3, Outcome::Done, At(10) } };
  struct Row
  {
    std::int64_t end_;
    std::int64_t gap_;
  };
  const auto row = GENERATE(values<Row>({ { 35, 20 }, { 100, 70 } }));
  CHECK(LongestWriteGap(writes, At(0), At(row.end_)) == Duration(row.gap_));
  CHECK(LongestWriteGap({}, At(0), At(row.end_)) == Duration(row.end_));
}

TEST_CASE("percentiles are computed from unsorted durations", "[outcomes]")
{
  struct Row
  {
    std::vector<Duration> durations_;
    double share_;
    std::int64_t value_;
  };
  const std::vector<Duration> three{ Duration(9), Duration(1), Duration(5) };
  const auto row = GENERATE_COPY(values<Row>({
    { {}, 0.5, 0 },
    { three, 0, 1 },
    { three, 0.5, 5 },
    { three, 1, 9 },
  }));
  CHECK(Percentile(row.durations_, row.share_).count() == row.value_);
}

} // namespace wigeonlb::testing::loadclient
