#pragma once

#include <cstdint>
#include <string_view>

#include "foundation/findings.h"
#include "settings/daemonsettings.h"

//! Readers of names, addresses and lists of hosts in settings.
namespace wigeonlb::daemon::settings {

bool
ReadNumber(std::string_view aText, std::uint64_t& aNumber);

//! 1 to 63 letters, digits, `-`, `_` or `.`.
bool
IsName(std::string_view aText);

//! `ip:port`.
bool
ReadListenAddress(std::string_view aText, ListenAddress& aAddress);

void
ReadSeeds(std::string_view aText,
          std::string_view aPlace,
          DaemonSettings& aSettings,
          foundation::Findings& aFindings);

//! The seeds as control members: a host's name is its IP number there, and peer
//! links listen at the same port on all hosts.
void
TakeSeeds(DaemonSettings& aSettings);

void
ReadMembers(std::string_view aText,
            std::string_view aPlace,
            DaemonSettings& aSettings,
            foundation::Findings& aFindings);

} // namespace wigeonlb::daemon::settings
