#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "foundation/findings.h"
#include "trace.pb.h"

//! Recorded events of the core: their file format, the invariants over them,
//! and the repetition of the control leader's decisions.
namespace wigeonlb::core::trace {

//! Version of the format; a file of another one is refused.
constexpr std::uint32_t kTraceVersion = 1;

//! The records of one boot of one host; the first is a header.
struct Trace
{
  std::string name_; //!< of the file; a record's number is its line in it
  std::vector<wire::TraceRecord> records_;
};

//! A record as a line of JSON, with the line's end. Empty when it can't be
//! written as JSON, because a text in it is not UTF-8.
std::string
ToJsonLine(const wire::TraceRecord& aRecord);

//! Reads a whole file and appends its traces: each header begins another one,
//! so that a file can hold the traces of several hosts. An error comes with one
//! finding that names the line.
std::error_code
ReadTraces(std::istream& aInput,
           std::string_view aName,
           std::vector<Trace>& aTraces,
           foundation::Findings& aFindings);

//! The header of a trace that was read.
const wire::TraceHeader&
GetHeader(const Trace& aTrace);

} // namespace wigeonlb::core::trace
