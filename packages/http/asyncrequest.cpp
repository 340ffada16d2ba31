#include "http/asyncrequest.h"

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/internal/responseconversion.h"

namespace wigeonlb::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

//! A request in progress.
//! NOTE Kept alive by the handlers of its pending operations.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(asio::io_context& aContext, RequestCallback aDone)
    : context_(aContext)
    , stream_(aContext)
    , done_(std::move(aDone))
  {
  }

  void Start(const OutgoingRequest& aRequest, foundation::Duration aTimeout)
  {
    FillRequest(aRequest);
    sendBefore_ = aRequest.sendBefore_;
    beast::error_code error;
    const tcp::endpoint endpoint = ParseEndpoint(aRequest.address_, error);
    if (error) {
      asio::post(context_,
                 [self = shared_from_this(), error] { self->Finish(error); });
      return;
    }
    stream_.expires_after(aTimeout); // covers the whole exchange
    stream_.async_connect(
      endpoint, [self = shared_from_this()](beast::error_code aError) {
        self->OnConnected(aError);
      });
  }

private:
  void FillRequest(const OutgoingRequest& aRequest)
  {
    request_.version(11);
    request_.method_string(aRequest.method_);
    request_.target(aRequest.target_);
    request_.set(beast::http::field::host, aRequest.address_);
    for (const auto& [name, value] : aRequest.headers_) {
      request_.set(name, value);
    }
    request_.keep_alive(false);
    request_.body() = aRequest.body_;
    request_.prepare_payload();
  }

  void OnConnected(beast::error_code aError)
  {
    if (aError) {
      Finish(aError);
      return;
    }
    // Checked here, as connecting may take long, and so may a suspension of the
    // process.
    if (sendBefore_ && foundation::SteadyNow() >= *sendBefore_) {
      Finish(asio::error::operation_aborted);
      return;
    }
    result_.sent_ = true;
    beast::http::async_write(
      stream_,
      request_,
      [self = shared_from_this()](beast::error_code aWriteError, std::size_t) {
        self->OnWritten(aWriteError);
      });
  }

  void OnWritten(beast::error_code aError)
  {
    if (aError) {
      Finish(aError);
      return;
    }
    beast::http::async_read(
      stream_,
      buffer_,
      parser_,
      [self = shared_from_this()](beast::error_code aReadError, std::size_t) {
        self->Finish(aReadError);
      });
  }

  void Finish(beast::error_code aError)
  {
    result_.error_ = ToStandardError(aError);
    if (!aError) {
      result_.response_ = ConvertResponse(parser_.get());
    }
    stream_.close();
    done_(std::move(result_));
  }

  asio::io_context& context_;
  beast::tcp_stream stream_;
  RequestCallback done_;
  std::optional<foundation::Instant> sendBefore_;
  beast::http::request<beast::http::string_body> request_;
  beast::flat_buffer buffer_;
  beast::http::response_parser<beast::http::string_body> parser_;
  HttpResult result_;
};

} // namespace

void
SendRequest(asio::io_context& aContext,
            OutgoingRequest aRequest,
            foundation::Duration aTimeout,
            RequestCallback aDone)
{
  std::make_shared<Exchange>(aContext, std::move(aDone))
    ->Start(aRequest, aTimeout);
}

} // namespace wigeonlb::http
