#include "http/httpmessages.h"

#include <algorithm>

namespace wigeonlb::http {

std::string
FindParameter(const HttpRequest& aRequest, std::string_view aName)
{
  std::string name(aName);
  const auto parameter = aRequest.query_.find(name);
  if (parameter != aRequest.query_.end()) {
    return parameter->second;
  }
  std::replace(name.begin(), name.end(), '_', '-');
  const auto header = aRequest.headers_.find(name);
  return header == aRequest.headers_.end() ? std::string() : header->second;
}

} // namespace wigeonlb::http
