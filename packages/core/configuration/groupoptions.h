#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/findings.h"

namespace wigeonlb::core::configuration {

enum class OptionType
{
  Duration, //!< integer with a unit: `250ms`, `5s`, `2m`
  Number,   //!< integer
  Flag,     //!< `on` or `off`
  Word,     //!< lower-case name
};

//! Definition of an option that operators can set.
struct OptionRow
{
  std::string_view key_;
  OptionType type_;
  //! Unit of a number as shown to operators; may be empty.
  std::string_view unit_;
  std::string_view default_;
  //! Limits of a number, or of a duration in microseconds; inclusive.
  std::int64_t minimum_;
  std::int64_t maximum_;
  std::string_view help_;
};

//! The options of a group.
std::span<const OptionRow>
GroupOptions();

//! The options of the whole system.
std::span<const OptionRow>
SystemOptions();

//! The options as a Markdown table for the operators' documentation.
std::string
OptionsTable(std::span<const OptionRow> aRows);

//! The option with the given key, or null.
const OptionRow*
FindOption(std::span<const OptionRow> aRows, std::string_view aKey);

//! Adds a finding at aLocation if the key is unknown or the value is invalid.
void
CheckOption(std::span<const OptionRow> aRows,
            std::string_view aKey,
            std::string_view aValue,
            std::string_view aLocation,
            foundation::Findings& aFindings);

//! Parses a duration such as `250ms`, `5s`, `2m` or `100us`. Returns false if
//! the text is not valid.
bool
ParseDuration(std::string_view aText, foundation::Duration& aDuration);

//! The value of a group's option as text, or its default if it is not set.
std::string
OptionText(const wire::GroupState& aGroup, std::string_view aKey);
foundation::Duration
OptionDuration(const wire::GroupState& aGroup, std::string_view aKey);
std::int64_t
OptionNumber(const wire::GroupState& aGroup, std::string_view aKey);
bool
OptionFlag(const wire::GroupState& aGroup, std::string_view aKey);

//! Name of the group's table of request keys; empty if it does not accept
//! request keys.
std::string
RequestKeyTable(const wire::GroupState& aGroup);

//! Values of system options by key, from `ControlState.settings` or
//! `HeartbeatReply.settings`.
using Settings = google::protobuf::Map<std::string, std::string>;

//! The value of a system option as text, or its default if it is not set.
std::string
SystemOptionText(const Settings& aSettings, std::string_view aKey);
foundation::Duration
SystemOptionDuration(const Settings& aSettings, std::string_view aKey);
std::int64_t
SystemOptionNumber(const Settings& aSettings, std::string_view aKey);

} // namespace wigeonlb::core::configuration
