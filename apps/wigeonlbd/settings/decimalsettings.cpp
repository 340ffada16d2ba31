#include "settings/decimalsettings.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace wigeonlb::daemon::settings {

namespace {

using foundation::Findings;

//! Part of the grace period that is reserved for the shutdown steps after the
//! drain.
constexpr foundation::Duration kStopMarginMs = std::chrono::milliseconds(500);

constexpr double kMaxSeconds = 3600;
constexpr double kMaxOverage = 10;
constexpr double kMaxSlack = 1e6;

std::optional<double>
ParseDecimal(std::string_view aText)
{
  double number = 0;
  const char* const end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  return result.ec == std::errc() && result.ptr == end ? std::optional(number)
                                                       : std::nullopt;
}

//! Returns the number if it is at least aLeast and at most aMost, which
//! excludes what is not a number. Otherwise adds a finding.
std::optional<double>
ReadDecimal(std::string_view aText,
            std::string_view aLocation,
            double aLeast,
            double aMost,
            std::string_view aExpected,
            Findings& aFindings)
{
  const auto number = ParseDecimal(aText);
  if (number && *number >= aLeast && *number <= aMost) {
    return number;
  }
  foundation::AddFinding(aFindings,
                         std::string(aLocation),
                         "expected " + std::string(aExpected) + ", not '" +
                           std::string(aText) + "'");
  return std::nullopt;
}

//! Reads a number of seconds above zero.
std::optional<foundation::Duration>
ReadSeconds(std::string_view aText,
            std::string_view aLocation,
            Findings& aFindings)
{
  const auto seconds = ReadDecimal(aText,
                                   aLocation,
                                   1e-6,
                                   kMaxSeconds,
                                   "seconds above 0 and up to 3600",
                                   aFindings);
  if (!seconds) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<foundation::Duration>(
    std::chrono::duration<double>(*seconds));
}

} // namespace

void
ReadGrace(std::string_view aText,
          std::string_view aLocation,
          DaemonSettings& aSettings,
          Findings& aFindings)
{
  if (aText.empty()) {
    return;
  }
  if (const auto grace = ReadSeconds(aText, aLocation, aFindings)) {
    aSettings.drainDeadline_ =
      std::max(*grace - kStopMarginMs, foundation::Duration::zero());
    aSettings.transactionDrain_ = *grace / 2;
  }
}

void
ReadQuotaWindow(std::string_view aText,
                std::string_view aLocation,
                DaemonSettings& aSettings,
                Findings& aFindings)
{
  if (aText.empty()) {
    return;
  }
  if (const auto window = ReadSeconds(aText, aLocation, aFindings)) {
    aSettings.quotaTolerance_.window_ = *window;
  }
}

void
ReadQuotaOverage(std::string_view aText,
                 std::string_view aLocation,
                 DaemonSettings& aSettings,
                 Findings& aFindings)
{
  if (aText.empty()) {
    return;
  }
  const auto overage = ReadDecimal(
    aText, aLocation, 0, kMaxOverage, "a fraction from 0 to 10", aFindings);
  aSettings.quotaTolerance_.overage_ = overage.value_or(0);
}

void
ReadQuotaSlack(std::string_view aText,
               std::string_view aLocation,
               DaemonSettings& aSettings,
               Findings& aFindings)
{
  if (aText.empty()) {
    return;
  }
  const auto slack = ReadDecimal(
    aText, aLocation, 0, kMaxSlack, "a number from 0 to 1000000", aFindings);
  aSettings.quotaTolerance_.slack_ = slack.value_or(0);
}

} // namespace wigeonlb::daemon::settings
