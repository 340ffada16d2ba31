#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "foundation/clock.h"
#include "http/httpclient.h"

namespace wigeonlb::http {

//! A request to a server.
struct OutgoingRequest
{
  std::string address_; //!< `ip:port`
  std::string method_;
  std::string target_;
  std::map<std::string, std::string> headers_;
  std::string body_;
  //! The request is not sent at or after this time. Empty: no limit.
  std::optional<foundation::Instant> sendBefore_ = {};
};

using RequestCallback = std::function<void(HttpResult)>;

//! Sends a request over a separate connection, without blocking, and calls
//! aDone once on aContext with the response or the error. aTimeout applies to
//! the whole exchange. Errors: std::errc::timed_out,
//! std::errc::operation_canceled if sendBefore_ has passed before the request
//! could be sent, or a system error.
void
SendRequest(boost::asio::io_context& aContext,
            OutgoingRequest aRequest,
            foundation::Duration aTimeout,
            RequestCallback aDone);

} // namespace wigeonlb::http
