#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/trace/tracefile.h"

namespace wigeonlb::core::trace::tests {

//! Parses traces from lines of JSON without numbers and headers. A line `---`
//! starts the trace of the next host. Unless a record states its time, it is
//! 1 ms after the previous one in the text. All traces have the same clock.
std::vector<Trace>
ParseTraces(std::string_view aText);

//! Formats a trace as the text of a whole file.
std::string
ToText(const Trace& aTrace);

} // namespace wigeonlb::core::trace::tests
