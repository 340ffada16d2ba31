#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "operator/tableview.h"

namespace wigeonlb::operators {

namespace {

const Table kTargets{
  { "target", "data_centre" },
  { { "t1", "ar-centro" }, { "t2", "" }, { "\xc3\xa9", "x" } }
};

} // namespace

TEST_CASE("rows are kept if they satisfy all conditions", "[tableview]")
{
  struct Row
  {
    std::vector<Condition> conditions_;
    std::string error_;
    std::size_t rows_;
  };
  const auto row = GENERATE(values<Row>({
    { {}, "", 3 },
    { { { "target", "t1" } }, "", 1 },
    { { { "target", "t1" }, { "data_centre", "" } }, "", 0 },
    { { { "data_centre", "" } }, "", 1 },
    { { { "host", "t1" } },
      "no column host; there are target, data_centre",
      3 },
  }));
  Table table = kTargets;
  CHECK(ApplyConditions(table, row.conditions_) == row.error_);
  CHECK(table.rows_.size() == row.rows_);
}

TEST_CASE("the columns of a table are aligned", "[tableview]")
{
  CHECK(ToText(kTargets) == "target  data_centre\n"
                            "t1      ar-centro\n"
                            "t2\n"
                            "\xc3\xa9       x\n"
                            "(3 rows)\n");
}

TEST_CASE("a table is the same after conversion to JSON and back",
          "[tableview]")
{
  CHECK(ToJson(kTargets)["rows"][0]["data_centre"] == "ar-centro");
  CHECK(TableFromJson(ToJson(kTargets)) == kTargets);
  CHECK(TableFromJson(nlohmann::json::array()) == Table{});
}

TEST_CASE("the metrics table shows values and statistics", "[tableview]")
{
  foundation::MetricsRegistry registry;
  registry.Counter("c", { { "group", "a" }, { "tenant", "b" } }).Add(4);
  registry.Gauge("g").Set(0.5);
  registry.Histogram("h").Record(std::chrono::milliseconds(2));
  const Table table = MakeMetricsTable(registry.Snapshot());
  CHECK(table.rows_[0] == std::vector<std::string>{
                            "c", "group=a tenant=b", "4", "", "", "", "" });
  CHECK(table.rows_[1][2] == "0.5");
  CHECK(table.rows_[2] == std::vector<std::string>{
                            "h", "", "1", "2.000", "2.000", "2.000", "2.000" });
}

} // namespace wigeonlb::operators
