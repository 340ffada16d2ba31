#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wigeonlb::daemon::control {

//! Identifies a numbered configuration document by its number and the XXH3
//! hash of its text. It is the id of the change that adopts the document, so
//! that a document which is sent again is the same change, and log lines can be
//! matched with what was sent.
std::string
MakeDocumentId(std::uint64_t aNumber, std::string_view aDocument);

} // namespace wigeonlb::daemon::control
