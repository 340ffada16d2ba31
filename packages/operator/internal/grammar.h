#pragma once

#include <string>
#include <string_view>

#include "operator/statements.h"

namespace wigeonlb::operators {

//! The location of a syntax error and a description of what was expected there.
struct SyntaxError
{
  const char* where_ = nullptr; //!< points into the parsed text
  std::string expected_;
};

//! Parses one statement without its `;`. Returns false and sets aError if it is
//! invalid. Does not set the line and column of the statement.
bool
ParseStatement(std::string_view aText,
               Statement& aStatement,
               SyntaxError& aError);

//! Returns the first character that is neither white space nor part of a
//! comment, or aEnd.
const char*
SkipSpace(const char* aBegin, const char* aEnd);

} // namespace wigeonlb::operators
