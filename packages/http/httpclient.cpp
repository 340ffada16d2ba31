#include "http/httpclient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/internal/responseconversion.h"

namespace wigeonlb::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxResponseBytes = 64ULL * 1024 * 1024;
constexpr std::string_view kUnreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                         "abcdefghijklmnopqrstuvwxyz"
                                         "0123456789-._~";
constexpr std::string_view kHexDigits = "0123456789ABCDEF";

//! Runs one asynchronous operation to completion.
template<typename Operation>
beast::error_code
RunToCompletion(asio::io_context& aContext, Operation aOperation)
{
  beast::error_code result;
  aOperation(
    [&result](beast::error_code aError, auto&&...) { result = aError; });
  aContext.restart();
  aContext.run();
  return result;
}

tcp::resolver::results_type
Resolve(asio::io_context& aContext,
        std::string_view aAddress,
        beast::error_code& aError)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string_view::npos) {
    aError = asio::error::invalid_argument;
    return {};
  }
  tcp::resolver resolver(aContext);
  return resolver.resolve(std::string(aAddress.substr(0, colon)),
                          std::string(aAddress.substr(colon + 1)),
                          tcp::resolver::numeric_service,
                          aError);
}

} // namespace

HttpResult
HttpClient::Request(std::string_view aAddress,
                    std::string_view aMethod,
                    std::string_view aTarget,
                    std::string_view aBody,
                    foundation::Duration aTimeout,
                    const std::map<std::string, std::string>& aHeaders)
{
  HttpResult result;
  asio::io_context context;
  beast::error_code error;
  const auto endpoints = Resolve(context, aAddress, error);
  if (error) {
    result.error_ = ToStandardError(error);
    return result;
  }
  beast::tcp_stream stream(context);
  stream.expires_after(aTimeout); // covers the whole exchange
  error = RunToCompletion(
    context, [&](auto aHandler) { stream.async_connect(endpoints, aHandler); });
  if (error) {
    result.error_ = ToStandardError(error);
    return result;
  }

  beast::http::request<beast::http::string_body> request;
  request.version(11);
  request.method_string({ aMethod.data(), aMethod.size() });
  request.target({ aTarget.data(), aTarget.size() });
  request.set(beast::http::field::host, std::string(aAddress));
  for (const auto& [name, value] : aHeaders) {
    request.set(name, value);
  }
  request.keep_alive(false);
  request.body() = aBody;
  request.prepare_payload();
  result.sent_ = true;
  error = RunToCompletion(context, [&](auto aHandler) {
    beast::http::async_write(stream, request, aHandler);
  });

  // A server that refuses a request early responds before all of it was
  // written, so the response is read even after a write error.
  beast::flat_buffer buffer;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  if (!error || error != beast::error::timeout) {
    error = RunToCompletion(context, [&](auto aHandler) {
      beast::http::async_read(stream, buffer, parser, aHandler);
    });
  }
  result.error_ = ToStandardError(error);
  if (!error) {
    result.response_ = ConvertResponse(parser.get());
  }
  return result;
}

std::string
EncodeQuery(std::string_view aText)
{
  std::string encoded;
  for (const char character : aText) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kHexDigits[byte >> 4];
    encoded += kHexDigits[byte & 15];
  }
  return encoded;
}

} // namespace wigeonlb::http
