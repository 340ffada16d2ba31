#include "http/internal/responseconversion.h"

#include <string>

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/field.hpp>

#include "foundation/parsenumber.h"

namespace wigeonlb::http {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

std::error_code
ToStandardError(beast::error_code aError)
{
  if (aError == beast::error::timeout) {
    return std::make_error_code(std::errc::timed_out);
  }
  return aError;
}

HttpResponse
ConvertResponse(const beast::http::response<beast::http::string_body>& aSource)
{
  HttpResponse response;
  response.status_ = static_cast<int>(aSource.result_int());
  response.contentType_ =
    std::string(aSource[beast::http::field::content_type]);
  for (const auto& field : aSource) {
    response.headers_[std::string(field.name_string())] =
      std::string(field.value());
  }
  response.body_ = aSource.body();
  return response;
}

tcp::endpoint
ParseEndpoint(std::string_view aAddress, beast::error_code& aError)
{
  const std::size_t colon = aAddress.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string_view::npos ||
      !foundation::ParseNumber(aAddress.substr(colon + 1), port)) {
    aError = boost::asio::error::invalid_argument;
    return {};
  }
  const auto ip = boost::asio::ip::make_address(
    std::string(aAddress.substr(0, colon)), aError);
  return { ip, port };
}

} // namespace wigeonlb::http
