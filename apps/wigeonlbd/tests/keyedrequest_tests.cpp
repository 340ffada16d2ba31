#include <catch2/catch.hpp>

#include "traffic/keyedrequest.h"

namespace wigeonlb::daemon::traffic {

namespace {

constexpr const char* kStatement = "INSERT INTO t VALUES (1)";

KeyedRun
MakeRun(bool aBegins)
{
  return { MakeKeyedRequest("keys", "k", kStatement, aBegins, "0") };
}

} // namespace

TEST_CASE("request keys are validated", "[keyedrequest]")
{
  const auto row = GENERATE(values<std::pair<std::string, bool>>({
    { "badge-17/2026.a:b+c=d@e", true },
    { "", false },
    { "it's", false },
    { "back\\slash", false },
    { "two words", false },
    { std::string(128, 'k'), true },
    { std::string(129, 'k'), false },
  }));
  CHECK(IsRequestKey(row.first) == row.second);
}

TEST_CASE("a keyed request advances or rolls back by its results",
          "[keyedrequest]")
{
  struct Row
  {
    bool begins_;
    std::size_t complete_; //!< results before the error
    std::string sqlstate_;
    char status_;
    std::string next_; //!< prefix of the second message
    bool conflict_;
  };
  const auto row = GENERATE(values<Row>({
    { false, 3, "", 'T', "UPDATE keys SET command_tag = 'INSERT 0 1'", false },
    { true, 2, "", 'T', "", false },
    { false, 1, "23505", 'E', "ROLLBACK; SELECT", true },
    { true, 1, "23505", 'E', "ROLLBACK; SELECT", true },
    // A unique violation by the caller's own statement.
    { false, 2, "23505", 'E', "ROLLBACK", false },
    { false, 1, "42P01", 'E', "ROLLBACK", false },
    { false, 0, "25006", 'I', "", false },
  }));
  KeyedRun run = MakeRun(row.begins_);
  for (std::size_t index = 0; index < row.complete_; ++index) {
    RecordCompletion(run, index, "INSERT 0 1");
  }
  if (!row.sqlstate_.empty()) {
    CHECK(RecordError(run, row.sqlstate_) == row.conflict_);
  }
  const std::string next = AdvanceKeyedRun(run, row.sqlstate_, row.status_);
  CHECK(next.starts_with(row.next_));
  CHECK(next.empty() == row.next_.empty());
  CHECK(MakeKeyedEnd(run).has_value() == row.conflict_);
  CHECK(AdvanceKeyedRun(run, "", 'I').empty());
}

TEST_CASE("the row of a used key determines the outcome", "[keyedrequest]")
{
  struct Row
  {
    bool begins_;
    std::optional<std::string> hash_; //!< empty: there is no row
    std::string sqlstate_;
    std::string expectedText_;
    bool alreadyDone_;
  };
  const std::string own = MakeRun(false).request_.hash_;
  const auto row = GENERATE_COPY(values<Row>({
    { false, own, "", "INSERT 0 1", true },
    { true, "transaction", "", "WL001", true },
    { false, "transaction", "WL002", "WL002", false },
    { true, own, "WL002", "WL002", false },
    { false, std::nullopt, "40001", "40001", false },
  }));
  KeyedRun run = MakeRun(row.begins_);
  RecordCompletion(run, 0, "BEGIN");
  RecordError(run, "23505");
  AdvanceKeyedRun(run, "23505", 'E');
  if (row.hash_) {
    const target::Field fields[] = { *row.hash_, "INSERT 0 1" };
    RecordKeyRow(run, fields);
  }
  const auto end = MakeKeyedEnd(run);
  REQUIRE(end);
  CHECK(end->error_.sqlstate_ == row.sqlstate_);
  CHECK(end->frames_.find(row.expectedText_) != std::string::npos);
  CHECK(end->alreadyDone_ == row.alreadyDone_);
}

} // namespace wigeonlb::daemon::traffic
