#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace wigeonlb::testing::relay {

//! Name of a process whose traffic passes through the relay.
using ProcessName = std::string;

//! How bytes from one process to another are handled.
enum class LinkMode
{
  Open,
  Silent, //!< queued until the link is open again; connections stay open
  Refused //!< existing and new connections are reset
};

struct LinkState
{
  LinkMode mode_ = LinkMode::Open;
  std::chrono::milliseconds delay_{ 0 };
};

//! Links by (from, to). A link that is not listed is open without delay.
using LinkTable = std::map<std::pair<ProcessName, ProcessName>, LinkState>;

LinkState
GetLink(const LinkTable& aTable,
        const ProcessName& aFrom,
        const ProcessName& aTo);

//! True if the link has the mode in at least one direction.
bool
EitherDirectionHas(const LinkTable& aTable,
                   const ProcessName& aLeft,
                   const ProcessName& aRight,
                   LinkMode aMode);

} // namespace wigeonlb::testing::relay
