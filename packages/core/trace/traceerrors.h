#pragma once

#include <system_error>

namespace wigeonlb::core::trace {

//! Reason why a trace can't be read.
enum class TraceError
{
  Unreadable = 1, //!< the file can't be opened
  MissingHeader,  //!< the first record is not a header
  WrongVersion,   //!< the header has an unsupported format version
  Corrupt,        //!< a record is not valid JSON of the schema
  OutOfOrder,     //!< a record's number is not its line number
  Truncated,      //!< the last line is not terminated
};

std::error_code
make_error_code(TraceError aError);

} // namespace wigeonlb::core::trace

template<>
struct std::is_error_code_enum<wigeonlb::core::trace::TraceError>
  : std::true_type
{
};
