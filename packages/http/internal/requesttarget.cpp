#include "http/internal/requesttarget.h"

#include <charconv>

namespace wigeonlb::http {

namespace {

bool
Decode(std::string_view aText, bool aPlusIsSpace, std::string& aResult)
{
  aResult.clear();
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '+' && aPlusIsSpace) {
      aResult += ' ';
      continue;
    }
    if (aText[index] != '%') {
      aResult += aText[index];
      continue;
    }
    if (index + 2 >= aText.size()) {
      return false;
    }
    const char* first = aText.data() + index + 1;
    unsigned value = 0;
    const auto [end, error] = std::from_chars(first, first + 2, value, 16);
    if (error != std::errc() || end != first + 2) {
      return false;
    }
    aResult += static_cast<char>(value);
    index += 2;
  }
  return true;
}

bool
ParseParameter(std::string_view aText, HttpRequest& aRequest)
{
  const std::size_t equals = aText.find('=');
  const std::string_view value = equals == std::string_view::npos
                                   ? std::string_view()
                                   : aText.substr(equals + 1);
  std::string name;
  return Decode(aText.substr(0, equals), true, name) &&
         Decode(value, true, aRequest.query_[name]);
}

} // namespace

bool
ParseTarget(std::string_view aTarget, HttpRequest& aRequest)
{
  const std::size_t mark = aTarget.find('?');
  if (!Decode(aTarget.substr(0, mark), false, aRequest.path_)) {
    return false;
  }
  std::string_view rest = mark == std::string_view::npos
                            ? std::string_view()
                            : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    rest =
      end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    if (!parameter.empty() && !ParseParameter(parameter, aRequest)) {
      return false;
    }
  }
  return true;
}

} // namespace wigeonlb::http
