#include "core/configuration/groupoptions.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "foundation/parsenumber.h"

namespace wigeonlb::core::configuration {

namespace {

constexpr std::int64_t kMillisecondUs = 1000;
constexpr std::int64_t kSecondUs = 1000 * kMillisecondUs;
constexpr std::int64_t kMinuteUs = 60 * kSecondUs;
constexpr std::int64_t kDayUs = 1440 * kMinuteUs;

constexpr std::array kGroupRows = {
  OptionRow{ "acknowledge",
             OptionType::Word,
             "",
             "majority",
             0,
             0,
             "targets that must have stored a write before it is "
             "acknowledged: majority (a majority of the targets), "
             "one_replica (one replica; the primary itself waits for it) "
             "or primary (only the primary; a crash can then lose "
             "acknowledged writes)" },
  OptionRow{ "concurrency",
             OptionType::Number,
             "statements",
             "0",
             0,
             10000,
             "maximum number of statements that run at the same time on "
             "one target, if lower than its slots; 0: only the slots "
             "limit it" },
  OptionRow{ "connection_limit",
             OptionType::Number,
             "connections",
             "0",
             0,
             100000,
             "maximum number of connections to each target from all "
             "hosts; 0: the lowest limit that a target announces" },
  OptionRow{ "dialect",
             OptionType::Word,
             "",
             "postgresql",
             0,
             0,
             "dialect of the targets, which determines how their terms "
             "and log positions are queried" },
  OptionRow{ "fence",
             OptionType::Flag,
             "",
             "off",
             0,
             0,
             "reserved for fencing at the targets; has no effect yet" },
  OptionRow{ "idle_transaction",
             OptionType::Duration,
             "",
             "30s",
             kMillisecondUs,
             kDayUs,
             "time after which an open transaction without a statement is "
             "rolled back" },
  OptionRow{ "idle_transaction_contended",
             OptionType::Duration,
             "",
             "2s",
             kMillisecondUs,
             kDayUs,
             "the same limit while other requests wait for a slot of the "
             "target" },
  OptionRow{ "lease",
             OptionType::Duration,
             "",
             "1s",
             100 * kMillisecondUs,
             kMinuteUs,
             "lease length of the grants that owners hold" },
  OptionRow{ "max_age",
             OptionType::Duration,
             "",
             "0s",
             0,
             kDayUs,
             "maximum staleness for reads that do not state one; 0s: only "
             "the session's minimum position (its floor) limits them" },
  OptionRow{ "owners",
             OptionType::Number,
             "hosts",
             "3",
             1,
             64,
             "number of hosts that hold connections to the targets" },
  OptionRow{ "promotion_deadline",
             OptionType::Duration,
             "",
             "2s",
             100 * kMillisecondUs,
             kMinuteUs,
             "time after which an unfinished promotion is abandoned and a "
             "primary is chosen again" },
  OptionRow{ "queue",
             OptionType::Number,
             "statements",
             "4096",
             1,
             100000,
             "maximum number of the group's statements that wait at one "
             "owner" },
  OptionRow{ "read_deadline",
             OptionType::Duration,
             "",
             "5s",
             kMillisecondUs,
             kDayUs,
             "time limit for a read, including the time it waits" },
  OptionRow{ "request_key_age",
             OptionType::Duration,
             "",
             "1440m",
             kSecondUs,
             kDayUs,
             "time after which request keys are removed" },
  OptionRow{ "request_keys",
             OptionType::Word,
             "",
             "off",
             0,
             0,
             "the group's table of request keys; off: request keys are "
             "not accepted" },
  OptionRow{ "size",
             OptionType::Number,
             "targets",
             "3",
             1,
             15,
             "intended number of targets that count for majorities" },
  OptionRow{ "suspect_after",
             OptionType::Duration,
             "",
             "500ms",
             50 * kMillisecondUs,
             kMinuteUs,
             "time without a response to a status probe after which an "
             "owner suspects that the target has failed" },
  OptionRow{ "write_deadline",
             OptionType::Duration,
             "",
             "5s",
             kMillisecondUs,
             kDayUs,
             "time limit for a write, including its acknowledgement" },
};

constexpr std::array kSystemRows = {
  OptionRow{ "drain_deadline",
             OptionType::Duration,
             "",
             "30s",
             kSecondUs,
             kDayUs,
             "a host that is shut down waits this long for requests" },
  OptionRow{ "host_silent_after",
             OptionType::Duration,
             "",
             "3s",
             500 * kMillisecondUs,
             10 * kMinuteUs,
             "a host without a heartbeat this long is not counted as live" },
  OptionRow{ "tenant_share",
             OptionType::Number,
             "percent",
             "50",
             1,
             100,
             "of a full queue that one tenant may hold" },
};

bool
IsWord(std::string_view aText)
{
  return !aText.empty() &&
         std::ranges::all_of(aText, [](unsigned char aCharacter) {
           return std::islower(aCharacter) || std::isdigit(aCharacter) ||
                  aCharacter == '_';
         });
}

std::string
FormatBounds(const OptionRow& aRow)
{
  std::string unit = aRow.unit_.empty() ? "" : " " + std::string(aRow.unit_);
  std::int64_t scale = 1;
  if (aRow.type_ == OptionType::Duration) {
    unit = "ms";
    scale = kMillisecondUs;
  }
  return std::to_string(aRow.minimum_ / scale) + " to " +
         std::to_string(aRow.maximum_ / scale) + unit;
}

// The valid values of an option.
std::string
FormatValues(const OptionRow& aRow)
{
  switch (aRow.type_) {
    case OptionType::Flag:
      return "on, off";
    case OptionType::Word:
      return "lower-case name";
    default:
      return FormatBounds(aRow);
  }
}

// Why a value is invalid; empty if it is valid.
std::string
DescribeProblem(const OptionRow& aRow, std::string_view aValue)
{
  std::int64_t number = 0;
  foundation::Duration duration{};
  switch (aRow.type_) {
    case OptionType::Flag:
      return aValue == "on" || aValue == "off" ? "" : "expected on or off";
    case OptionType::Word:
      return IsWord(aValue) ? "" : "expected a lower-case name";
    case OptionType::Number:
      if (!foundation::ParseNumber(aValue, number)) {
        return "expected a whole number";
      }
      break;
    case OptionType::Duration:
      if (!ParseDuration(aValue, duration)) {
        return "expected a duration such as 250ms or 5s";
      }
      number = duration.count();
      break;
  }
  const bool within = number >= aRow.minimum_ && number <= aRow.maximum_;
  return within ? "" : "expected " + FormatBounds(aRow);
}

std::string
LookUpOption(std::span<const OptionRow> aRows,
             const Settings& aSettings,
             std::string_view aKey)
{
  const auto set = aSettings.find(std::string(aKey));
  if (set != aSettings.end()) {
    return set->second;
  }
  const OptionRow* row = FindOption(aRows, aKey);
  return row ? std::string(row->default_) : std::string();
}

foundation::Duration
ToDuration(std::string_view aText)
{
  foundation::Duration duration{};
  ParseDuration(aText, duration);
  return duration;
}

std::int64_t
ToNumber(std::string_view aText)
{
  std::int64_t number = 0;
  foundation::ParseNumber(aText, number);
  return number;
}

} // namespace

std::span<const OptionRow>
GroupOptions()
{
  return kGroupRows;
}

std::span<const OptionRow>
SystemOptions()
{
  return kSystemRows;
}

std::string
OptionsTable(std::span<const OptionRow> aRows)
{
  std::string table = "| option | default | values | meaning |\n"
                      "|---|---|---|---|\n";
  for (const OptionRow& row : aRows) {
    table += "| `" + std::string(row.key_) + "` | " +
             std::string(row.default_) + " | " + FormatValues(row) + " | " +
             std::string(row.help_) + " |\n";
  }
  return table;
}

const OptionRow*
FindOption(std::span<const OptionRow> aRows, std::string_view aKey)
{
  const auto row = std::ranges::find(aRows, aKey, &OptionRow::key_);
  return row == aRows.end() ? nullptr : &*row;
}

void
CheckOption(std::span<const OptionRow> aRows,
            std::string_view aKey,
            std::string_view aValue,
            std::string_view aLocation,
            foundation::Findings& aFindings)
{
  const OptionRow* row = FindOption(aRows, aKey);
  if (!row) {
    foundation::AddFinding(
      aFindings, std::string(aLocation), "unknown option " + std::string(aKey));
    return;
  }
  const std::string problem = DescribeProblem(*row, aValue);
  if (!problem.empty()) {
    foundation::AddFinding(aFindings,
                           std::string(aLocation),
                           "option " + std::string(aKey) + " = '" +
                             std::string(aValue) + "': " + problem);
  }
}

bool
ParseDuration(std::string_view aText, foundation::Duration& aDuration)
{
  struct Unit
  {
    std::string_view name_;
    std::int64_t microseconds_;
  };
  constexpr Unit kUnits[] = {
    { "us", 1 },
    { "ms", kMillisecondUs },
    { "s", kSecondUs },
    { "m", kMinuteUs },
  };
  const std::size_t digits =
    std::min(aText.find_first_not_of("0123456789"), aText.size());
  std::int64_t count = 0;
  if (!foundation::ParseNumber(aText.substr(0, digits), count) ||
      count > kDayUs) {
    return false;
  }
  for (const Unit& unit : kUnits) {
    if (unit.name_ == aText.substr(digits)) {
      aDuration = foundation::Duration(count * unit.microseconds_);
      return true;
    }
  }
  return false;
}

std::string
OptionText(const wire::GroupState& aGroup, std::string_view aKey)
{
  return LookUpOption(GroupOptions(), aGroup.options(), aKey);
}

foundation::Duration
OptionDuration(const wire::GroupState& aGroup, std::string_view aKey)
{
  return ToDuration(OptionText(aGroup, aKey));
}

std::int64_t
OptionNumber(const wire::GroupState& aGroup, std::string_view aKey)
{
  return ToNumber(OptionText(aGroup, aKey));
}

bool
OptionFlag(const wire::GroupState& aGroup, std::string_view aKey)
{
  return OptionText(aGroup, aKey) == "on";
}

std::string
RequestKeyTable(const wire::GroupState& aGroup)
{
  const std::string table = OptionText(aGroup, "request_keys");
  return table == "off" ? std::string() : table;
}

std::string
SystemOptionText(const Settings& aSettings, std::string_view aKey)
{
  return LookUpOption(SystemOptions(), aSettings, aKey);
}

foundation::Duration
SystemOptionDuration(const Settings& aSettings, std::string_view aKey)
{
  return ToDuration(SystemOptionText(aSettings, aKey));
}

std::int64_t
SystemOptionNumber(const Settings& aSettings, std::string_view aKey)
{
  return ToNumber(SystemOptionText(aSettings, aKey));
}

} // namespace wigeonlb::core::configuration
