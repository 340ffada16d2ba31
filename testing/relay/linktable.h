#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace wigeonlb::testing::relay {

//! A process whose traffic passes the relay, by name.
using ProcessName = std::string;

//! What becomes of bytes from one place to another.
enum class LinkMode
{
  Open,
  Silent, //!< held until the link is open again; connections stay open
  Refused //!< connections are reset, new ones too
};

struct LinkState
{
  LinkMode mode_ = LinkMode::Open;
  std::chrono::milliseconds delay_{ 0 };
};

//! Links by (from, to); one that is not listed is open without delay.
using LinkTable = std::map<std::pair<ProcessName, ProcessName>, LinkState>;

LinkState
GetLink(const LinkTable& aTable,
        const ProcessName& aFrom,
        const ProcessName& aTo);

//! Whether either direction has the mode.
bool
EitherDirectionHas(const LinkTable& aTable,
                   const ProcessName& aLeft,
                   const ProcessName& aRight,
                   LinkMode aMode);

} // namespace wigeonlb::testing::relay
