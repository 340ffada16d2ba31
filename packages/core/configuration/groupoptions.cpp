#include "core/configuration/groupoptions.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

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
             "who has a write before it is acknowledged: majority (of the "
             "targets), one_replica (the primary waits for it itself) or "
             "primary; with primary alone a crash can take back what was "
             "acknowledged" },
  OptionRow{
    "concurrency",
    OptionType::Number,
    "statements",
    "0",
    0,
    10000,
    "statements at once on one target, fewer than its slots; 0: as many" },
  OptionRow{
    "connection_limit",
    OptionType::Number,
    "connections",
    "0",
    0,
    100000,
    "connections that each target takes from all; 0: as it announces" },
  OptionRow{ "dialect",
             OptionType::Word,
             "",
             "postgresql",
             0,
             0,
             "how terms and positions are asked of the targets" },
  OptionRow{ "fence",
             OptionType::Flag,
             "",
             "off",
             0,
             0,
             "reserved for a fence at the targets; has no effect yet" },
  OptionRow{ "idle_transaction",
             OptionType::Duration,
             "",
             "30s",
             kMillisecondUs,
             kDayUs,
             "an open transaction without a statement for this long is rolled "
             "back" },
  OptionRow{ "idle_transaction_contended",
             OptionType::Duration,
             "",
             "2s",
             kMillisecondUs,
             kDayUs,
             "the same while others wait for the server's slots" },
  OptionRow{ "lease",
             OptionType::Duration,
             "",
             "1s",
             100 * kMillisecondUs,
             kMinuteUs,
             "length of the owners' grants" },
  OptionRow{ "max_age",
             OptionType::Duration,
             "",
             "0s",
             0,
             kDayUs,
             "age that reads accept if they state none; 0s: by floor only" },
  OptionRow{ "owners",
             OptionType::Number,
             "hosts",
             "3",
             1,
             64,
             "hosts that hold connections to the targets" },
  OptionRow{ "promotion_deadline",
             OptionType::Duration,
             "",
             "2s",
             100 * kMillisecondUs,
             kMinuteUs,
             "after this an ordered promotion is given up for another" },
  OptionRow{ "queue",
             OptionType::Number,
             "statements",
             "4096",
             1,
             100000,
             "statements of the group that may wait at one owner" },
  OptionRow{ "read_deadline",
             OptionType::Duration,
             "",
             "5s",
             kMillisecondUs,
             kDayUs,
             "longest time for a read, waiting included" },
  OptionRow{ "request_key_age",
             OptionType::Duration,
             "",
             "1440m",
             kSecondUs,
             kDayUs,
             "request keys are removed after this time" },
  OptionRow{ "request_keys",
             OptionType::Word,
             "",
             "off",
             0,
             0,
             "the group's table of request keys; off: requests take no keys" },
  OptionRow{ "size",
             OptionType::Number,
             "targets",
             "3",
             1,
             15,
             "targets that the group has when it is whole" },
  OptionRow{
    "suspect_after",
    OptionType::Duration,
    "",
    "500ms",
    50 * kMillisecondUs,
    kMinuteUs,
    "an owner suspects a target whose status has no answer for this long" },
  OptionRow{ "write_deadline",
             OptionType::Duration,
             "",
             "5s",
             kMillisecondUs,
             kDayUs,
             "longest time for a write, acknowledgement included" },
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
ParseNumber(std::string_view aText, std::int64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return result.ec == std::errc() && result.ptr == end && !aText.empty();
}

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
BoundsText(const OptionRow& aRow)
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
ValuesText(const OptionRow& aRow)
{
  switch (aRow.type_) {
    case OptionType::Flag:
      return "on, off";
    case OptionType::Word:
      return "lower-case name";
    default:
      return BoundsText(aRow);
  }
}

// Why a value is invalid; empty if it is valid.
std::string
ValueProblem(const OptionRow& aRow, std::string_view aValue)
{
  std::int64_t number = 0;
  foundation::Duration duration{};
  switch (aRow.type_) {
    case OptionType::Flag:
      return aValue == "on" || aValue == "off" ? "" : "expected on or off";
    case OptionType::Word:
      return IsWord(aValue) ? "" : "expected a lower-case name";
    case OptionType::Number:
      if (!ParseNumber(aValue, number)) {
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
  return within ? "" : "expected " + BoundsText(aRow);
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
  ParseNumber(aText, number);
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
             std::string(row.default_) + " | " + ValuesText(row) + " | " +
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
            std::string_view aPlace,
            foundation::Findings& aFindings)
{
  const OptionRow* row = FindOption(aRows, aKey);
  if (!row) {
    foundation::AddFinding(
      aFindings, std::string(aPlace), "unknown option " + std::string(aKey));
    return;
  }
  const std::string problem = ValueProblem(*row, aValue);
  if (!problem.empty()) {
    foundation::AddFinding(aFindings,
                           std::string(aPlace),
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
  if (!ParseNumber(aText.substr(0, digits), count) || count > kDayUs) {
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
