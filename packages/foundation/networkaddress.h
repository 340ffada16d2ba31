#pragma once

#include <string_view>

namespace wigeonlb::foundation {

//! Whether a text is `host:port`, with a host name, an IPv4 address or an IPv6
//! address in brackets, and a port from 1 to 65535. Only the characters of the
//! host are checked; it need not exist.
bool
IsNetworkAddress(std::string_view aText);

} // namespace wigeonlb::foundation
