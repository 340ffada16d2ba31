#pragma once

#include <string_view>

#include "settings/daemonsettings.h"

namespace wigeonlb::daemon::settings {

// Readers of the settings with decimal fractions. An empty text leaves the
// default in force.

//! Sets the drain deadline a little below the grace period. Overrides
//! `drain-deadline-ms`, which is read earlier.
void
ReadGrace(std::string_view aText,
          std::string_view aLocation,
          DaemonSettings& aSettings,
          foundation::Findings& aFindings);

void
ReadQuotaWindow(std::string_view aText,
                std::string_view aLocation,
                DaemonSettings& aSettings,
                foundation::Findings& aFindings);

void
ReadQuotaOverage(std::string_view aText,
                 std::string_view aLocation,
                 DaemonSettings& aSettings,
                 foundation::Findings& aFindings);

void
ReadQuotaSlack(std::string_view aText,
               std::string_view aLocation,
               DaemonSettings& aSettings,
               foundation::Findings& aFindings);

} // namespace wigeonlb::daemon::settings
