#pragma once

#include <map>
#include <string>
#include <string_view>
#include <system_error>

#include "foundation/clock.h"
#include "http/httpmessages.h"

namespace wigeonlb::http {

//! Result of a request.
struct HttpResult
{
  //! Set when there is no response.
  std::error_code error_;
  //! True if the server may have received the request; false when the
  //! connection could not be established or the address is invalid.
  bool sent_ = false;
  HttpResponse response_;
};

//! Blocking client for command-line tools and tests. Each request uses a new
//! connection.
struct HttpClient
{
  //! Sends a request to `host:port`. aTimeout applies to the whole exchange.
  //! Errors: std::errc::timed_out, or a system error.
  static HttpResult Request(
    std::string_view aAddress,
    std::string_view aMethod,
    std::string_view aTarget,
    std::string_view aBody,
    foundation::Duration aTimeout,
    const std::map<std::string, std::string>& aHeaders = {});
};

//! Percent-encodes a text for use in a query.
std::string
EncodeQuery(std::string_view aText);

} // namespace wigeonlb::http
