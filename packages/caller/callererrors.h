#pragma once

#include <system_error>

namespace wigeonlb::caller {

//! Protocol errors in the input of a caller.
enum class CallerError
{
  BadLength = 1,       //!< a message's length field is too small
  MessageTooLong,      //!< a message exceeds the size limit
  BadStartupPacket,    //!< a malformed startup packet
  UnsupportedProtocol, //!< a protocol version other than 3.x
  BadOptions,          //!< `options` holds more than `-c name=value`
  BadQuery,            //!< a Query without terminator, or with bytes after it
  UnexpectedMessage,   //!< a message type that is not allowed
  StartupTimeout,      //!< no startup packet within the deadline
};

std::error_code
make_error_code(CallerError aError);

} // namespace wigeonlb::caller

template<>
struct std::is_error_code_enum<wigeonlb::caller::CallerError> : std::true_type
{
};
