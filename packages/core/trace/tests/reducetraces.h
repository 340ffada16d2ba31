#pragma once

#include <string>
#include <vector>

#include "core/trace/checktraces.h"

namespace wigeonlb::core::trace::tests {

//! Reduces traces to the records that findings about acknowledged writes depend
//! on: the entries applied at the member that applied most, the group states in
//! force, and, per host and term, the last grant and the last acknowledged
//! write.
std::vector<Trace>
ReduceTraces(const std::vector<Trace>& aTraces);

//! Formats the traces as the text of one file. Each header declares the
//! findings of CheckTraces as expected, and the first one also contains the
//! note.
std::string
FormatFile(std::vector<Trace> aTraces, const std::string& aNote);

} // namespace wigeonlb::core::trace::tests
