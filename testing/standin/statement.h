#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wigeonlb::testing::standin {

//! Removes the next statement from the front of a query text and returns it
//! without its semicolon in aStatement. Skips empty statements. Returns false
//! if no statement is left.
bool
ExtractStatement(std::string_view& aText, std::string_view& aStatement);

//! First word of a statement, in upper case.
std::string
FirstWord(std::string_view aStatement);

//! A call of a control function of the stand-in.
struct ControlCall
{
  std::string name_; //!< without the prefix `standin_`: `status`, `promote`...
  std::vector<std::string> arguments_;
};

//! Parses `SELECT standin_name(arguments)` and `SELECT * FROM standin_name`.
//! Returns false for any other statement.
bool
ParseControlCall(std::string_view aStatement, ControlCall& aCall);

} // namespace wigeonlb::testing::standin
