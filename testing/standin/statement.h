#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace wigeonlb::testing::standin {

//! Takes the next statement, without its semicolon, from the front of a query
//! text; skips empty ones. False when none is left.
bool
ExtractStatement(std::string_view& aText, std::string_view& aStatement);

//! First word of a statement in capitals.
std::string
FirstWord(std::string_view aStatement);

//! A call of one of the stand-in's own functions.
struct ControlCall
{
  std::string name_; //!< `status`, `promote`, ... without `standin_`
  std::vector<std::string> arguments_;
};

//! Reads `SELECT standin_name(arguments)` and `SELECT * FROM standin_name`.
bool
ParseControlCall(std::string_view aStatement, ControlCall& aCall);

} // namespace wigeonlb::testing::standin
