#pragma once

#include <string>

namespace wigeonlb::operators {

//! Generates a random change id: 128 bits in hexadecimal.
std::string
MakeChangeId();

} // namespace wigeonlb::operators
