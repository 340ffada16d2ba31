#include "operator/internal/tokens.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace wigeonlb::operators {

namespace {

constexpr ShowKind kShowKinds[] = {
  ShowKind::Hosts,  ShowKind::Groups, ShowKind::Targets, ShowKind::Sessions,
  ShowKind::Grants, ShowKind::Config, ShowKind::Metrics, ShowKind::Members,
};

char
ToLower(char aCharacter)
{
  return static_cast<char>(
    std::tolower(static_cast<unsigned char>(aCharacter)));
}

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](char aFirst, char aSecond) {
                      return ToLower(aFirst) == ToLower(aSecond);
                    });
}

bool
IsNameCharacter(char aCharacter)
{
  const auto character = static_cast<unsigned char>(aCharacter);
  return std::isalnum(character) != 0 ||
         std::string_view("_./-").find(aCharacter) != std::string_view::npos;
}

//! Reads a quoted text, in which a doubled quote represents one quote. Returns
//! false if the closing quote is missing.
bool
ReadQuoted(const char*& aBegin, const char* aEnd, std::string& aText)
{
  for (const char* at = aBegin + 1; at != aEnd; ++at) {
    if (*at != '\'') {
      aText += *at;
      continue;
    }
    if (at + 1 == aEnd || at[1] != '\'') {
      aBegin = at + 1;
      return true;
    }
    aText += '\'';
    ++at;
  }
  return false;
}

} // namespace

std::string_view
ReadWord(const char* aBegin, const char* aEnd)
{
  const char* end = aBegin;
  while (end != aEnd && IsNameCharacter(*end)) {
    ++end;
  }
  return { aBegin, static_cast<std::size_t>(end - aBegin) };
}

bool
ReadText(const char*& aBegin, const char* aEnd, std::string& aText)
{
  aText.clear();
  if (aBegin != aEnd && *aBegin == '\'') {
    if (ReadQuoted(aBegin, aEnd, aText)) {
      return true;
    }
    boost::throw_exception(
      x3::expectation_failure<const char*>(aEnd, "a closing quote"));
  }
  aText = ReadWord(aBegin, aEnd);
  aBegin += aText.size();
  return !aText.empty();
}

bool
MatchWord(std::string_view aWord, const char*& aBegin, const char* aEnd)
{
  const std::string_view word = ReadWord(aBegin, aEnd);
  if (!EqualIgnoringCase(word, aWord)) {
    return false;
  }
  aBegin += word.size();
  return true;
}

bool
ParseShowKind(std::string_view aText, ShowKind& aKind)
{
  for (const ShowKind kind : kShowKinds) {
    if (EqualIgnoringCase(aText, ToString(kind))) {
      aKind = kind;
      return true;
    }
  }
  return false;
}

bool
ParseRevision(std::string_view aText, foundation::Revision& aRevision)
{
  const char* const end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, aRevision);
  return error == std::errc() && rest == end;
}

bool
ParseDuration(std::string_view aText, foundation::Duration& aDuration)
{
  struct Unit
  {
    std::string_view name_;
    std::int64_t microseconds_;
  };
  constexpr Unit kUnits[] = { { "us", 1 },
                              { "ms", 1'000 },
                              { "s", 1'000'000 },
                              { "min", 60'000'000 },
                              { "h", 3'600'000'000 } };
  std::int64_t number = 0;
  const char* const end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || number < 0) {
    return false;
  }
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  for (const Unit& unit : kUnits) {
    const std::int64_t limit =
      std::numeric_limits<std::int64_t>::max() / unit.microseconds_;
    if (unit.name_ == name && number <= limit) {
      aDuration = foundation::Duration(number * unit.microseconds_);
      return true;
    }
  }
  return false;
}

} // namespace wigeonlb::operators
