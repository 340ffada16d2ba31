#pragma once

#include <string>
#include <vector>

#include "core/trace/checktraces.h"

namespace wigeonlb::core::trace::tests {

//! Keeps what findings about acknowledged writes rest on: the entries applied
//! at the member with most of them, the groups in force, the first grant of a
//! term, and the last write of a term that each host acknowledged.
std::vector<Trace>
ReduceTraces(const std::vector<Trace>& aTraces);

//! The text of one file with the traces one after the other. The headers state
//! what CheckTraces finds, and the first one the note.
std::string
FormatFile(std::vector<Trace> aTraces, const std::string& aNote);

} // namespace wigeonlb::core::trace::tests
