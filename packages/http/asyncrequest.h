#pragma once

#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "foundation/clock.h"
#include "http/httpclient.h"

namespace wigeonlb::http {

//! One request to a server.
struct OutgoingRequest
{
  std::string address_; //!< `ip:port`
  std::string method_;
  std::string target_;
  std::map<std::string, std::string> headers_;
  std::string body_;
};

using RequestCallback = std::function<void(HttpResult)>;

//! Sends a request over a connection of its own, without blocking, and gives
//! the answer or the error once on aContext. Errors: those of the system, and
//! std::errc::timed_out after the timeout as a whole.
void
SendRequest(boost::asio::io_context& aContext,
            OutgoingRequest aRequest,
            foundation::Duration aTimeout,
            RequestCallback aDone);

} // namespace wigeonlb::http
