#include "operator/tableview.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <nlohmann/json.hpp>

namespace wigeonlb::operators {

namespace {

constexpr double kMillisecondsPerSecond = 1000;

//! The number of code points of a UTF-8 text.
std::size_t
CountCodePoints(std::string_view aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](char aCharacter) {
      return (static_cast<unsigned char>(aCharacter) & 0xc0) != 0x80;
    }));
}

std::vector<std::size_t>
ComputeColumnWidths(const Table& aTable)
{
  std::vector<std::size_t> widths;
  for (const std::string& column : aTable.columns_) {
    widths.push_back(CountCodePoints(column));
  }
  for (const auto& row : aTable.rows_) {
    for (std::size_t index = 0; index < row.size() && index < widths.size();
         ++index) {
      widths[index] = std::max(widths[index], CountCodePoints(row[index]));
    }
  }
  return widths;
}

std::string
FormatRow(std::span<const std::string> aRow,
          std::span<const std::size_t> aWidths)
{
  std::string line;
  for (std::size_t index = 0; index < aWidths.size(); ++index) {
    const std::string cell = index < aRow.size() ? aRow[index] : std::string();
    line += cell + std::string(aWidths[index] - CountCodePoints(cell) + 2, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

std::string
FormatMilliseconds(double aSeconds)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(3)
       << aSeconds * kMillisecondsPerSecond;
  return text.str();
}

std::string
FormatLabels(const foundation::MetricSnapshot& aMetric)
{
  std::string text;
  for (const auto& [name, value] : aMetric.labels_) {
    text += (text.empty() ? "" : " ") + name + "=" + value;
  }
  return text;
}

void
AppendHistogram(std::vector<std::string>& aRow,
                const foundation::HistogramSnapshot& aHistogram)
{
  aRow.push_back(std::to_string(aHistogram.count_));
  aRow.push_back(FormatMilliseconds(aHistogram.meanSeconds_));
  for (const double share : { 0.5, 0.99 }) {
    aRow.push_back(
      FormatMilliseconds(foundation::QuantileSeconds(aHistogram, share)));
  }
  aRow.push_back(FormatMilliseconds(aHistogram.maxSeconds_));
}

std::string
FormatGauge(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

std::string
JoinColumnNames(const Table& aTable)
{
  std::string names;
  for (const std::string& column : aTable.columns_) {
    names += (names.empty() ? "" : ", ") + column;
  }
  return names;
}

} // namespace

std::string
ApplyConditions(Table& aTable, std::span<const Condition> aConditions)
{
  for (const Condition& condition : aConditions) {
    const auto column = std::find(
      aTable.columns_.begin(), aTable.columns_.end(), condition.column_);
    if (column == aTable.columns_.end()) {
      return "no column " + condition.column_ + "; there are " +
             JoinColumnNames(aTable);
    }
    const auto index =
      static_cast<std::size_t>(column - aTable.columns_.begin());
    std::erase_if(aTable.rows_, [&](const std::vector<std::string>& aRow) {
      return index >= aRow.size() || aRow[index] != condition.value_;
    });
  }
  return {};
}

std::string
ToText(const Table& aTable)
{
  const std::vector<std::size_t> widths = ComputeColumnWidths(aTable);
  std::string text = FormatRow(aTable.columns_, widths);
  for (const auto& row : aTable.rows_) {
    text += FormatRow(row, widths);
  }
  const std::size_t count = aTable.rows_.size();
  return text + "(" + std::to_string(count) +
         (count == 1 ? " row)" : " rows)") + "\n";
}

nlohmann::json
ToJson(const Table& aTable)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const auto& row : aTable.rows_) {
    nlohmann::json object = nlohmann::json::object();
    for (std::size_t index = 0; index < aTable.columns_.size(); ++index) {
      object[aTable.columns_[index]] =
        index < row.size() ? row[index] : std::string();
    }
    rows.push_back(std::move(object));
  }
  return { { "columns", aTable.columns_ }, { "rows", std::move(rows) } };
}

Table
TableFromJson(const nlohmann::json& aJson)
{
  Table table;
  if (!aJson.is_object() || !aJson.contains("columns") ||
      !aJson.contains("rows")) {
    return table;
  }
  for (const auto& column : aJson["columns"]) {
    table.columns_.push_back(column.is_string() ? column.get<std::string>()
                                                : std::string());
  }
  for (const auto& object : aJson["rows"]) {
    std::vector<std::string> row;
    for (const std::string& column : table.columns_) {
      row.push_back(object.is_object() ? object.value(column, std::string())
                                       : std::string());
    }
    table.rows_.push_back(std::move(row));
  }
  return table;
}

Table
MakeMetricsTable(std::span<const foundation::MetricSnapshot> aMetrics)
{
  Table table;
  table.columns_ = { "name",   "labels", "value", "mean_ms",
                     "p50_ms", "p99_ms", "max_ms" };
  for (const foundation::MetricSnapshot& metric : aMetrics) {
    std::vector<std::string> row{ metric.name_, FormatLabels(metric) };
    if (const auto* count = std::get_if<std::uint64_t>(&metric.value_)) {
      row.push_back(std::to_string(*count));
    } else if (const auto* gauge = std::get_if<double>(&metric.value_)) {
      row.push_back(FormatGauge(*gauge));
    } else {
      AppendHistogram(row,
                      std::get<foundation::HistogramSnapshot>(metric.value_));
    }
    row.resize(table.columns_.size());
    table.rows_.push_back(std::move(row));
  }
  return table;
}

Table
MakeHelpTable()
{
  return {
    { "statement", "meaning" },
    {
      { "show hosts|groups|targets|sessions|grants|config|metrics|members "
        "[where COLUMN = 'VALUE' [and ...]]",
        "list a table of the configured and the current state" },
      { "show why group GROUP", "the last decisions about a group" },
      { "show help", "list the statements" },
      { "explain read GROUP [floor TERM/OFFSET] [max_age '5s']",
        "which targets may serve a read now, and why the others may not" },
      { "create group GROUP [with KEY = VALUE, ...] [if revision N]",
        "add a group" },
      { "drop group GROUP [if revision N]", "remove a group" },
      { "set group GROUP KEY = VALUE, ... [if revision N]",
        "change a group's options" },
      { "set system KEY = VALUE, ... [if revision N]",
        "change the system's settings" },
      { "drain target GROUP TARGET [if revision N]",
        "stop sending new work to a target" },
      { "undrain target GROUP TARGET [if revision N]",
        "resume sending work to a target" },
      { "promote GROUP TARGET [if revision N]",
        "move a group's primary to a target" },
    },
  };
}

} // namespace wigeonlb::operators
