#include "operator/statements.h"

#include <algorithm>
#include <array>

#include "operator/internal/grammar.h"

namespace wigeonlb::operators {

using foundation::AddFinding;
using foundation::Findings;

namespace {

//! In the order of ShowKind.
constexpr std::array<std::string_view, 8> kTableNames{ "hosts",   "groups",
                                                       "targets", "sessions",
                                                       "grants",  "config",
                                                       "metrics", "members" };

//! Limit for the input that an error message quotes.
constexpr std::size_t kMaxQuotedBytes = 20;

struct SourceLocation
{
  std::size_t line_ = 1;
  std::size_t column_ = 1;
};

SourceLocation
GetLocation(std::string_view aText, const char* aWhere)
{
  const std::string_view before =
    aText.substr(0, static_cast<std::size_t>(aWhere - aText.data()));
  const std::size_t lineBreak = before.rfind('\n');
  const std::size_t lineStart =
    lineBreak == std::string_view::npos ? 0 : lineBreak + 1;
  const auto lines = std::count(before.begin(), before.end(), '\n');
  return { 1 + static_cast<std::size_t>(lines), before.size() - lineStart + 1 };
}

std::string
FormatLocation(std::size_t aLine, std::size_t aColumn)
{
  return std::to_string(aLine) + ":" + std::to_string(aColumn);
}

//! The length up to the next `;` outside quotes and comments.
std::size_t
FindStatementLength(std::string_view aText)
{
  bool quoted = false;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '\'') {
      quoted = !quoted;
    } else if (!quoted && aText[index] == ';') {
      return index;
    } else if (!quoted && aText.substr(index).starts_with("--")) {
      index = std::min(aText.find('\n', index), aText.size());
    }
  }
  return aText.size();
}

//! Quotes the start of the remaining input for an error message.
std::string
DescribeFoundText(std::string_view aRest)
{
  if (aRest.empty()) {
    return "the end of the statement";
  }
  const std::size_t length =
    std::min({ aRest.find_first_of(" \t\r\n"), aRest.size(), kMaxQuotedBytes });
  return "`" + std::string(aRest.substr(0, std::max<std::size_t>(length, 1))) +
         "`";
}

void
AddSyntaxError(std::string_view aText,
               std::string_view aStatementText,
               const SyntaxError& aError,
               Findings& aFindings)
{
  const SourceLocation location = GetLocation(aText, aError.where_);
  const std::string_view rest = aStatementText.substr(
    static_cast<std::size_t>(aError.where_ - aStatementText.data()));
  AddFinding(aFindings,
             FormatLocation(location.line_, location.column_),
             "expected " + aError.expected_ + ", found " +
               DescribeFoundText(rest));
}

} // namespace

std::vector<Statement>
ParseStatements(std::string_view aText, Findings& aFindings)
{
  std::vector<Statement> statements;
  const char* const end = aText.data() + aText.size();
  for (std::size_t at = 0; at < aText.size();) {
    const std::size_t length = FindStatementLength(aText.substr(at));
    const std::string_view part = aText.substr(at, length);
    at += length + 1;
    const char* const begin = SkipSpace(part.data(), part.data() + part.size());
    if (begin == part.data() + part.size() || begin == end) {
      continue;
    }
    const SourceLocation location = GetLocation(aText, begin);
    Statement statement;
    SyntaxError error;
    if (ParseStatement(part, statement, error)) {
      statement.line_ = location.line_;
      statement.column_ = location.column_;
      statements.push_back(std::move(statement));
    } else {
      AddSyntaxError(aText, part, error, aFindings);
    }
  }
  return statements;
}

bool
IsChange(const Statement& aStatement)
{
  const StatementBody& body = aStatement.body_;
  return !std::holds_alternative<ShowStatement>(body) &&
         !std::holds_alternative<ShowWhyStatement>(body) &&
         !std::holds_alternative<ShowHelpStatement>(body) &&
         !std::holds_alternative<ExplainReadStatement>(body);
}

std::string
GetLocation(const Statement& aStatement)
{
  return FormatLocation(aStatement.line_, aStatement.column_);
}

std::string_view
ToString(ShowKind aKind)
{
  return kTableNames[static_cast<std::size_t>(aKind)];
}

} // namespace wigeonlb::operators
