#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "foundation/findings.h"
#include "trace.pb.h"

//! Recorded events of the core: their file format, a checker for the system's
//! invariants, and a replay of the control leader's decisions.
namespace wigeonlb::core::trace {

//! Version of the file format; files of any other version are refused.
constexpr std::uint32_t kTraceVersion = 1;

//! Records of one host from one boot; the first record is a header.
struct Trace
{
  std::string name_; //!< file name; a record's number is its line in the file
  std::vector<wire::TraceRecord> records_;
};

//! Formats a record as a line of JSON, including the line break. Returns an
//! empty string if a text in the record is not valid UTF-8.
std::string
ToJsonLine(const wire::TraceRecord& aRecord);

//! Reads a whole file and appends its traces. Each header starts a new trace,
//! so that a file can contain the traces of several hosts. On an error, adds
//! one finding that names the line.
std::error_code
ReadTraces(std::istream& aInput,
           std::string_view aName,
           std::vector<Trace>& aTraces,
           foundation::Findings& aFindings);

//! Returns the header of a trace, which must not be empty.
const wire::TraceHeader&
GetHeader(const Trace& aTrace);

} // namespace wigeonlb::core::trace
