#pragma once

#include <string_view>

namespace wigeonlb::core::classification::internal {

//! Whether a built-in function has no side effects and may run on a replica.
//! Functions that aren't listed are assumed to write.
bool
IsReadOnlyFunction(std::string_view aName);

//! Whether a function leaves state on the connection after the transaction.
bool
KeepsSessionState(std::string_view aName);

//! Whether a function's result depends on earlier statements on the connection.
bool
ReadsSessionState(std::string_view aName);

} // namespace wigeonlb::core::classification::internal
