#include <cstdlib>
#include <optional>
#include <span>
#include <vector>

#include "caller/sqlstates.h"
#include "testing/standin/queryrunner.h"

namespace wigeonlb::testing::standin {

namespace {

using Values = std::vector<std::optional<std::string_view>>;

constexpr std::string_view kInvalidParameter =
  caller::sqlstates::kInvalidParameterValue;

std::uint64_t
NumberAt(const ControlCall& aCall, std::size_t aIndex)
{
  constexpr int kDecimal = 10;
  return aIndex < aCall.arguments_.size()
           ? std::strtoull(aCall.arguments_[aIndex].c_str(), nullptr, kDecimal)
           : 0;
}

std::string_view
ToText(bool aValue)
{
  return aValue ? "t" : "f";
}

// One value of a row, with the name and type of its column.
struct Cell
{
  std::string_view name_;
  std::string value_;
  std::uint32_t type_ = caller::kInt8TypeOid;
};

void
AppendCellColumns(std::string& aFrames, std::span<const Cell> aCells)
{
  std::vector<caller::ColumnDescription> columns;
  for (const Cell& cell : aCells) {
    columns.push_back({ .name_ = cell.name_, .typeOid_ = cell.type_ });
  }
  caller::AppendRowDescription(aFrames, columns);
}

void
AppendCellValues(std::string& aFrames, std::span<const Cell> aCells)
{
  Values values;
  for (const Cell& cell : aCells) {
    values.emplace_back(cell.value_);
  }
  caller::AppendDataRow(aFrames, values);
}

void
AppendResult(std::string& aFrames, std::span<const Cell> aCells)
{
  AppendCellColumns(aFrames, aCells);
  AppendCellValues(aFrames, aCells);
  caller::AppendCommandComplete(aFrames, "SELECT 1");
}

Cell
BoolCell(std::string_view aName, bool aValue)
{
  return { aName, std::string(ToText(aValue)), caller::kBoolTypeOid };
}

Cell
NumberCell(std::string_view aName, std::uint64_t aValue)
{
  return { aName, std::to_string(aValue) };
}

} // namespace

bool
QueryRunner::RunControl(const ControlCall& aCall)
{
  if (aCall.name_ == "status") {
    AppendStatus();
    return true;
  }
  if (aCall.name_ == "stats") {
    AppendStats();
    return true;
  }
  if (aCall.name_ == "wrote") {
    const Cell cells[] = { BoolCell("wrote", writing_) };
    AppendResult(frames_, cells);
    return true;
  }
  // A statement that looks like a read but writes, such as a SELECT from a view
  // over a writing function.
  if (aCall.name_ == "hidden_write") {
    return RunSql("INSERT INTO hidden VALUES (1)", true);
  }
  if (aCall.name_ == "pull") {
    return AppendPull(aCall);
  }
  return RunCommand(aCall, NumberAt(aCall, 0));
}

bool
QueryRunner::RunCommand(const ControlCall& aCall, std::uint64_t aNumber)
{
  const auto& arguments = aCall.arguments_;
  if (aCall.name_ == "promote" && arguments.size() == 1) {
    std::uint64_t start = 0;
    const std::string error = state_.Promote(aNumber, start);
    if (!error.empty()) {
      return Fail("55000", error);
    }
    AppendOneValue("standin_promote", std::to_string(start));
  } else if (aCall.name_ == "fence" && arguments.size() == 1) {
    if (state_.Fence(aNumber)) {
      output_.executeOnOthers_(SessionCommand::Disconnect);
    }
    AppendOneValue("standin_fence",
                   std::to_string(state_.GetStatus().syncedOffset_));
  } else if (aCall.name_ == "rebuild" && arguments.empty()) {
    RollBack();
    output_.executeOnOthers_(SessionCommand::Disconnect);
    state_.Rebuild();
    AppendOneValue("standin_rebuild",
                   std::to_string(state_.GetStatus().incarnation_));
  } else if (aCall.name_ == "set" && arguments.size() == 2) {
    const bool isSilentSetting = arguments[0] == "silent";
    if (!isSilentSetting && !state_.Set(arguments[0], arguments[1])) {
      return Fail(kInvalidParameter, "unknown setting " + arguments[0]);
    }
    if (isSilentSetting && arguments[1] == "on") {
      output_.executeOnOthers_(SessionCommand::StopResponding);
    }
    AppendOneValue("standin_set", arguments[1]);
  } else if (aCall.name_ == "end_session" && arguments.size() == 2) {
    AppendOneValue(
      "standin_end_session",
      std::to_string(output_.endSessions_({ arguments[1], aNumber })));
  } else if (aCall.name_ == "end_transactions" && arguments.size() == 2) {
    const std::chrono::milliseconds age(NumberAt(aCall, 1));
    AppendOneValue(
      "standin_end_transactions",
      std::to_string(output_.endSessions_({ arguments[0], 0, age })));
  } else {
    return Fail("42883", "no such function: standin_" + aCall.name_);
  }
  return true;
}

void
QueryRunner::AppendStatus()
{
  const auto status = state_.GetStatus();
  const Cell cells[] = {
    BoolCell("is_primary", status.primary_),
    NumberCell("adopted_term", status.adoptedTerm_),
    NumberCell("synced_offset", status.syncedOffset_),
    NumberCell("applied_offset", status.appliedOffset_),
    NumberCell("incarnation", status.incarnation_),
    BoolCell("diverged", status.diverged_),
  };
  AppendResult(frames_, cells);
}

void
QueryRunner::AppendStats()
{
  const Stats stats = state_.GetStats();
  const Cell cells[] = {
    NumberCell("connections", stats.connections_),
    NumberCell("max_connections_seen", stats.maxConnectionsSeen_),
    NumberCell("over_limit_refused", stats.overLimitRefused_),
    NumberCell("statements", stats.statements_),
    NumberCell("max_concurrent", stats.maxConcurrent_),
    NumberCell("caller_statements", stats.callerStatements_),
  };
  AppendResult(frames_, cells);
}

// The first row describes the server, each further row is a log entry.
bool
QueryRunner::AppendPull(const ControlCall& aCall)
{
  PullReply reply;
  if (!state_.Pull({ NumberAt(aCall, 0), NumberAt(aCall, 1) }, reply)) {
    return Fail("55000", "log shipping is off");
  }
  const Cell head[] = {
    NumberCell("primary_or_end", reply.primary_ ? 1 : 0),
    NumberCell("term", reply.term_),
    NumberCell("prefix_or_digest", reply.prefix_ ? 1 : 0),
    { "script", "", caller::kTextTypeOid },
  };
  AppendCellColumns(frames_, head);
  AppendCellValues(frames_, head);
  for (const LogEntry& entry : reply.entries_) {
    const Cell cells[] = {
      NumberCell("", entry.endOffset_),
      NumberCell("", entry.term_),
      NumberCell("", entry.digest_),
      { "", entry.script_ },
    };
    AppendCellValues(frames_, cells);
  }
  caller::AppendCommandComplete(frames_, "SELECT");
  return true;
}

void
QueryRunner::AppendOneValue(const std::string& aName, const std::string& aValue)
{
  const Cell cells[] = { { aName, aValue, caller::kTextTypeOid } };
  AppendResult(frames_, cells);
}

} // namespace wigeonlb::testing::standin
