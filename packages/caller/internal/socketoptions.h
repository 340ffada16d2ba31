#pragma once

#include "caller/callersession.h"

namespace wigeonlb::caller::internal {

//! Sets the TCP options of a session's socket. Errors are ignored: an option
//! that can't be set keeps the system's default.
void
SetSocketOptions(CallerSession::Socket& aSocket,
                 const CallerSessionOptions& aOptions);

} // namespace wigeonlb::caller::internal
