#include <catch2/catch.hpp>

#include "target/dialect.h"
#include "target/targeterrors.h"

namespace wigeonlb::target {

TEST_CASE("dialects are found by name", "[dialect]")
{
  CHECK(FindDialect("")->name_ == "postgresql");
  CHECK(FindDialect("standin")->name_ == "standin");
  CHECK(FindDialect("oracle") == nullptr);
}

TEST_CASE("status rows are parsed or rejected", "[dialect]")
{
  struct Row
  {
    std::vector<Field> fields_;
    bool valid_;
    std::uint64_t synced_;
    bool diverged_ = false;
  };
  const auto row = GENERATE(values<Row>({
    { { "t", "3", "100", "100", "1" }, true, 100 },
    { { "f", "3", "16/B374D848", "0/1", "7" }, true, 0x16B374D848 },
    { { "f", "3", "100000016/B374D848", "0/1", "7" }, false, 0 },
    { { "f", "3", "16/1B374D848", "0/1", "7" }, false, 0 },
    { { "f", "3", "18446744073709551616", "0/1", "7" }, false, 0 },
    { { "f", "3", "100", "100", "1", "t" }, true, 100, true },
    { { "f", "3", "100", "100", "1", "f" }, true, 100 },
    { { "f", "3", "100", "100", "1", std::nullopt }, true, 100 },
    { { "t", "3", "100", "100" }, false, 0 },
    { { "t", "3", std::nullopt, "100", "1" }, false, 0 },
    { { std::nullopt, "3", "1", "1", "1" }, false, 0 },
    { { "t", "x", "1", "1", "1" }, false, 0 },
    { { "t", "3", "1/", "1", "1" }, false, 0 },
  }));
  wire::TargetReport report;
  const std::error_code error = ReadStatus(row.fields_, report);
  CHECK(!error == row.valid_);
  CHECK(report.reachable() == row.valid_);
  CHECK(report.synced_offset() == row.synced_);
  CHECK(report.diverged() == row.diverged_);
}

TEST_CASE("the term placeholder of a statement is replaced", "[dialect]")
{
  CHECK(SubstituteTerm("SELECT standin_promote({term})", 7) ==
        "SELECT standin_promote(7)");
  CHECK(SubstituteTerm("SELECT 1", 7) == "SELECT 1");
}

TEST_CASE("application names longer than 63 bytes contain a hash", "[dialect]")
{
  struct Row
  {
    std::string host_;
    std::string name_;
  };
  const auto row = GENERATE(values<Row>({
    { "centro-a-0", "wigeonlb/centro-a-0/7" },
    { std::string(52, 'h'), "wigeonlb/" + std::string(52, 'h') + "/7" },
    { std::string(53, 'h'), "wigeonlb/1829351557649306577/7" },
  }));
  CHECK(MakeApplicationName(row.host_, 7) == row.name_);
}

TEST_CASE("statements that terminate sessions quote the application name",
          "[dialect]")
{
  struct Row
  {
    std::string dialect_;
    std::string name_;
    std::string endSession_;
    std::string endTransactions_;
  };
  const auto row = GENERATE(values<Row>({
    { "standin",
      "wigeonlb/h/7",
      "SELECT standin_end_session(41, 'wigeonlb/h/7')",
      "SELECT standin_end_transactions('wigeonlb/h/7', 1001)" },
    { "postgresql",
      "o'h\\",
      "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE "
      "pid = 41 AND application_name = E'o''h\\\\'",
      "SELECT count(pg_terminate_backend(pid)) FROM pg_stat_activity WHERE "
      "application_name = E'o''h\\\\' AND pid <> pg_backend_pid() AND "
      "xact_start <= clock_timestamp() - interval '1001 milliseconds'" },
  }));
  const Dialect& dialect = *FindDialect(row.dialect_);
  CHECK(MakeEndSessionStatement(dialect, 41, row.name_) == row.endSession_);
  CHECK(MakeEndTransactionsStatement(
          dialect, row.name_, std::chrono::microseconds(1000001)) ==
        row.endTransactions_);
  CHECK(MakeEndSessionStatement(Dialect{}, 41, row.name_).empty());
  CHECK(MakeEndTransactionsStatement(Dialect{}, row.name_, {}).empty());
}

} // namespace wigeonlb::target
