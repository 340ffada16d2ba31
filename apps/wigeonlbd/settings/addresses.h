#pragma once

#include <cstdint>
#include <string_view>

#include "foundation/findings.h"
#include "settings/daemonsettings.h"

//! Parsers for names, addresses and lists of hosts in settings.
namespace wigeonlb::daemon::settings {

//! Whether a name has 1 to 63 characters, all of them letters, digits, `-`, `_`
//! or `.`.
bool
IsValidName(std::string_view aText);

//! Parses `ip:port`. Returns false, without a change, when it is not valid.
bool
ReadListenAddress(std::string_view aText, ListenAddress& aAddress);

//! Parses a comma-separated list of `ip:port`. Adds a finding at aLocation for
//! each invalid entry.
void
ReadSeeds(std::string_view aText,
          std::string_view aLocation,
          DaemonSettings& aSettings,
          foundation::Findings& aFindings);

//! Adds the seeds to the control members. The host id of a seed is its IP
//! address, and all hosts use the peer port of this host.
void
AddSeedsAsControlMembers(DaemonSettings& aSettings);

//! Parses a comma-separated list of `host=ip:port`, which may be empty only
//! when there are seeds. Adds a finding at aLocation for each invalid or
//! repeated entry and for an invalid number of members.
void
ReadMembers(std::string_view aText,
            std::string_view aLocation,
            DaemonSettings& aSettings,
            foundation::Findings& aFindings);

} // namespace wigeonlb::daemon::settings
