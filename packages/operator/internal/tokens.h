#pragma once

#include <string>
#include <string_view>

#include <boost/spirit/home/x3.hpp>

#include "operator/statements.h"

//! Parsers of single tokens. Their types are plain structs with short names: if
//! the tokens are composed from the library's parsers, symbols get so long that
//! the grammar's object file reaches gigabytes.
namespace wigeonlb::operators {

namespace x3 = boost::spirit::x3;

//! The longest prefix that consists of name characters; may be empty.
std::string_view
ReadWord(const char* aBegin, const char* aEnd);

//! Reads a word or a quoted text and moves aBegin past it. Returns false if
//! there is neither. Throws x3::expectation_failure when a quote isn't closed.
bool
ReadText(const char*& aBegin, const char* aEnd, std::string& aText);

//! Moves aBegin past the word and returns true if the input starts with it;
//! ignores case.
bool
MatchWord(std::string_view aWord, const char*& aBegin, const char* aEnd);

bool
ParseRevision(std::string_view aText, foundation::Revision& aRevision);

//! Parses a duration such as `5s`. Units are us, ms, s, min and h.
bool
ParseDuration(std::string_view aText, foundation::Duration& aDuration);

//! The name of a token in error messages.
struct TokenName
{
  const char* name_;
};

// The library requires these names of a parser.
// NOLINTBEGIN(readability-identifier-naming)

//! A parser of one token without a value; Derived implements `Match`.
template<typename Derived>
struct PlainToken
  : TokenName
  , x3::parser<Derived>
{
  explicit constexpr PlainToken(const char* aName)
    : TokenName{ aName }
  {
  }

  using attribute_type = x3::unused_type;
  static constexpr bool has_attribute = false;

  template<typename Iterator, typename Context, typename Attribute>
  bool parse(Iterator& aBegin,
             const Iterator& aEnd,
             const Context& aContext,
             x3::unused_type,
             Attribute&) const
  {
    x3::skip_over(aBegin, aEnd, aContext);
    return this->derived().Match(aBegin, aEnd);
  }
};

//! A parser of one token with a value; Derived implements `Match`.
template<typename Derived, typename Value>
struct ValueToken
  : TokenName
  , x3::parser<Derived>
{
  explicit constexpr ValueToken(const char* aName)
    : TokenName{ aName }
  {
  }

  using attribute_type = Value;
  static constexpr bool has_attribute = true;

  template<typename Iterator,
           typename Context,
           typename RuleContext,
           typename Attribute>
  bool parse(Iterator& aBegin,
             const Iterator& aEnd,
             const Context& aContext,
             RuleContext&,
             Attribute& aAttribute) const
  {
    x3::skip_over(aBegin, aEnd, aContext);
    const Iterator start = aBegin;
    Value value{};
    if (!this->derived().Match(aBegin, aEnd, value)) {
      aBegin = start;
      return false;
    }
    x3::traits::move_to(std::move(value), aAttribute);
    return true;
  }
};
// NOLINTEND(readability-identifier-naming)

//! A keyword; case is ignored.
struct Word : PlainToken<Word>
{
  using PlainToken::PlainToken;

  bool Match(const char*& aBegin, const char* aEnd) const
  {
    return MatchWord(name_, aBegin, aEnd);
  }
};

//! A single character such as `=`.
struct Symbol : PlainToken<Symbol>
{
  using PlainToken::PlainToken;

  bool Match(const char*& aBegin, const char* aEnd) const
  {
    if (aBegin == aEnd || *aBegin != *name_) {
      return false;
    }
    ++aBegin;
    return true;
  }
};

struct EndOfStatement : PlainToken<EndOfStatement>
{
  EndOfStatement()
    : PlainToken("the end of the statement")
  {
  }

  static bool Match(const char* aBegin, const char* aEnd)
  {
    return aBegin == aEnd;
  }
};

//! A word or a quoted text, which may be empty.
struct Text : ValueToken<Text, std::string>
{
  using ValueToken::ValueToken;

  static bool Match(const char*& aBegin, const char* aEnd, std::string& aText)
  {
    return ReadText(aBegin, aEnd, aText);
  }
};

//! A word or a quoted text that is not empty.
struct Name : ValueToken<Name, std::string>
{
  using ValueToken::ValueToken;

  static bool Match(const char*& aBegin, const char* aEnd, std::string& aText)
  {
    return ReadText(aBegin, aEnd, aText) && !aText.empty();
  }
};

//! A word or quoted text that the function Read converts to a value.
template<typename Value, bool (*Read)(std::string_view, Value&)>
struct ConvertedText : ValueToken<ConvertedText<Value, Read>, Value>
{
  using Base = ValueToken<ConvertedText<Value, Read>, Value>;
  using Base::Base;

  static bool Match(const char*& aBegin, const char* aEnd, Value& aValue)
  {
    std::string text;
    return ReadText(aBegin, aEnd, text) && Read(text, aValue);
  }
};

bool
ParseShowKind(std::string_view aText, ShowKind& aKind);

using TableNameToken = ConvertedText<ShowKind, &ParseShowKind>;
using RevisionToken = ConvertedText<foundation::Revision, &ParseRevision>;
using DurationToken = ConvertedText<foundation::Duration, &ParseDuration>;
using PositionToken =
  ConvertedText<foundation::LogPosition, &foundation::ParseLogPosition>;

} // namespace wigeonlb::operators

template<typename Token>
struct boost::spirit::x3::get_info<
  Token,
  std::enable_if_t<std::is_base_of_v<wigeonlb::operators::TokenName, Token>>>
{
  // NOLINTNEXTLINE(readability-identifier-naming)
  using result_type = std::string;
  std::string operator()(const Token& aToken) const { return aToken.name_; }
};

// In error messages, a composed parser has the name of its first part.

template<typename Subject, typename Action>
struct boost::spirit::x3::get_info<boost::spirit::x3::action<Subject, Action>>
  : boost::spirit::x3::get_info<Subject>
{
  std::string operator()(
    const boost::spirit::x3::action<Subject, Action>& aAction) const
  {
    return boost::spirit::x3::what(aAction.subject);
  }
};

template<typename Left, typename Right>
struct boost::spirit::x3::get_info<boost::spirit::x3::sequence<Left, Right>>
  : boost::spirit::x3::get_info<Left>
{
  std::string operator()(
    const boost::spirit::x3::sequence<Left, Right>& aSequence) const
  {
    return boost::spirit::x3::what(aSequence.left);
  }
};
