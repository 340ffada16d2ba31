#include "testing/standin/statement.h"

#include <algorithm>
#include <cctype>
#include <regex>

namespace wigeonlb::testing::standin {

namespace {

// Length of the quoted text or comment at the front; 0 if there is neither.
std::size_t
GetSkippedLength(std::string_view aText)
{
  const auto lengthThrough = [&](std::string_view aEnd, std::size_t aFrom) {
    const std::size_t end = aText.find(aEnd, aFrom);
    return end == std::string_view::npos ? aText.size() : end + aEnd.size();
  };
  if (aText.front() == '\'' || aText.front() == '"') {
    return lengthThrough(aText.substr(0, 1), 1);
  }
  if (aText.starts_with("--")) {
    return lengthThrough("\n", 2);
  }
  return aText.starts_with("/*") ? lengthThrough("*/", 2) : 0;
}

std::string_view
Trim(std::string_view aText)
{
  const auto isSpace = [](unsigned char aChar) { return std::isspace(aChar); };
  while (!aText.empty() && isSpace(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && isSpace(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

std::string_view
WithoutLeadingComments(std::string_view aText)
{
  aText = Trim(aText);
  while (aText.starts_with("--") || aText.starts_with("/*")) {
    aText = Trim(aText.substr(GetSkippedLength(aText)));
  }
  return aText;
}

} // namespace

bool
ExtractStatement(std::string_view& aText, std::string_view& aStatement)
{
  aStatement = {};
  while (!aText.empty() && aStatement.empty()) {
    std::size_t end = 0;
    while (end < aText.size() && aText[end] != ';') {
      end += std::max<std::size_t>(1, GetSkippedLength(aText.substr(end)));
    }
    aStatement = WithoutLeadingComments(aText.substr(0, end));
    aText.remove_prefix(std::min(aText.size(), end + 1));
  }
  return !aStatement.empty();
}

std::string
FirstWord(std::string_view aStatement)
{
  std::string word;
  for (const char letter : aStatement) {
    if (std::isalpha(static_cast<unsigned char>(letter)) == 0) {
      break;
    }
    word.push_back(static_cast<char>(std::toupper(letter)));
  }
  return word;
}

bool
ParseControlCall(std::string_view aStatement, ControlCall& aCall)
{
  static const std::regex call(
    R"(select\s+(?:\*\s+from\s+)?standin_(\w+)\s*(?:\(([^()]*)\))?)"
    R"((?:\s+for\s+update)?)",
    std::regex::icase);
  constexpr std::size_t kMaxControlCallBytes = 200;
  std::cmatch match;
  if (aStatement.size() > kMaxControlCallBytes ||
      !std::regex_match(aStatement.data(),
                        aStatement.data() + aStatement.size(),
                        match,
                        call)) {
    return false;
  }
  aCall = { match[1].str(), {} };
  const std::string text = match[2].str();
  static const std::regex argument(R"([^\s,']+)");
  for (std::sregex_iterator at(text.begin(), text.end(), argument), end;
       at != end;
       ++at) {
    aCall.arguments_.push_back(at->str());
  }
  return true;
}

} // namespace wigeonlb::testing::standin
