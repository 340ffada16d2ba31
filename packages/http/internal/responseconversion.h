#pragma once

#include <string_view>
#include <system_error>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "http/httpmessages.h"

namespace wigeonlb::http {

//! Maps a time-out of Boost.Beast to std::errc::timed_out; returns other errors
//! unchanged.
std::error_code
ToStandardError(boost::beast::error_code aError);

HttpResponse
ConvertResponse(
  const boost::beast::http::response<boost::beast::http::string_body>& aSource);

//! Parses `ip:port`, without a name look-up.
boost::asio::ip::tcp::endpoint
ParseEndpoint(std::string_view aAddress, boost::beast::error_code& aError);

} // namespace wigeonlb::http
