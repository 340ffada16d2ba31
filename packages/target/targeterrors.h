#pragma once

#include <system_error>

namespace wigeonlb::target {

//! Failures of a connection to a target, other than SQL errors.
enum class TargetError
{
  ConnectFailed = 1, //!< refused, unreachable, or rejected during start-up
  ConnectTimedOut,   //!< no response within the connect timeout
  ConnectionLost,    //!< the connection ended while in use or idle
  BadStatus,         //!< the response to the status statement is malformed
  UnknownDialect,    //!< the dialect table has no entry with this name
};

std::error_code
make_error_code(TargetError aError);

} // namespace wigeonlb::target

template<>
struct std::is_error_code_enum<wigeonlb::target::TargetError> : std::true_type
{
};
