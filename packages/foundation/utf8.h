#pragma once

#include <string_view>

namespace wigeonlb::foundation {

//! Whether a text is well-formed UTF-8: no truncated or overlong sequence, no
//! surrogate, nothing above U+10FFFF.
bool
IsValidUtf8(std::string_view aText);

} // namespace wigeonlb::foundation
