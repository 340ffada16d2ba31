#include "http/internal/httpconnection.h"

#include <algorithm>
#include <cctype>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include "http/internal/requesttarget.h"

namespace wigeonlb::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

//! Time to receive the rest of a request when the server stops.
constexpr foundation::Duration kLastReadTimeoutMs =
  std::chrono::milliseconds(500);

//! Ensures that a request receives a single response: the first one delivered.
struct PendingResponse
  : boost::intrusive_ref_counter<PendingResponse, boost::thread_safe_counter>
{
  explicit PendingResponse(HttpConnectionPtr aConnection)
    : connection_(std::move(aConnection))
  {
  }

  void Deliver(HttpResponse aResponse)
  {
    if (!delivered_.exchange(true)) {
      connection_->PostResponse(std::move(aResponse));
    }
  }

  HttpConnectionPtr connection_;
  std::atomic<bool> delivered_{ false };
};

//! Shared by the handler's copies of ResponseCallback; responds with status 500
//! when the last copy is destroyed.
struct ResponseGuard
  : boost::intrusive_ref_counter<ResponseGuard, boost::thread_safe_counter>
{
  explicit ResponseGuard(boost::intrusive_ptr<PendingResponse> aPending)
    : pending_(std::move(aPending))
  {
  }

  ~ResponseGuard()
  {
    pending_->Deliver(
      { .status_ = 500, .body_ = "the request was not answered\n" });
  }

  boost::intrusive_ptr<PendingResponse> pending_;
};

bool
ConvertRequest(const beast::http::request<beast::http::string_body>& aSource,
               HttpRequest& aRequest)
{
  aRequest.method_ = std::string(aSource.method_string());
  for (const auto& field : aSource) {
    std::string name(field.name_string());
    std::transform(
      name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
        return static_cast<char>(std::tolower(aCharacter));
      });
    aRequest.headers_[name] = std::string(field.value());
  }
  aRequest.body_ = aSource.body();
  const beast::string_view target = aSource.target();
  return ParseTarget({ target.data(), target.size() }, aRequest);
}

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket aSocket,
                               std::shared_ptr<ServerState> aState)
  : state_(std::move(aState))
  , stream_(std::move(aSocket))
  , handlerTimer_(stream_.get_executor())
{
  ++state_->connectionCount_;
}

HttpConnection::~HttpConnection()
{
  --state_->connectionCount_;
}

void
HttpConnection::Start()
{
  {
    const std::lock_guard lock(state_->mutex_);
    intrusive_ptr_add_ref(this);
    state_->connections_.push_back(*this);
  }
  asio::dispatch(stream_.get_executor(),
                 [self = HttpConnectionPtr(this)] { self->Read(); });
}

void
HttpConnection::Stop()
{
  asio::post(stream_.get_executor(), [self = HttpConnectionPtr(this)] {
    if (self->reading_ && !self->HasArrivedInput()) {
      self->Close();
    }
  });
}

bool
HttpConnection::HasArrivedInput()
{
  beast::error_code error;
  return buffer_.size() > 0 || stream_.socket().available(error) > 0;
}

void
HttpConnection::Read()
{
  const bool stopping = state_->stopping_;
  if (stopping && !HasArrivedInput()) {
    Close();
    return;
  }
  parser_.emplace();
  parser_->body_limit(state_->settings_.maxBodyBytes_);
  parser_->header_limit(
    static_cast<std::uint32_t>(state_->settings_.maxHeaderBytes_));
  stream_.expires_after(stopping ? kLastReadTimeoutMs
                                 : state_->settings_.readTimeout_);
  reading_ = true;
  beast::http::async_read(
    stream_,
    buffer_,
    *parser_,
    [self = HttpConnectionPtr(this)](beast::error_code aError, std::size_t) {
      self->reading_ = false;
      self->OnRead(aError);
    });
}

void
HttpConnection::OnRead(beast::error_code aError)
{
  if (aError) {
    RefuseRequest(aError);
    return;
  }
  keepAlive_ = parser_->get().keep_alive();
  version_ = parser_->get().version();
  HandleRequest();
}

void
HttpConnection::HandleRequest()
{
  HttpRequest request;
  if (!ConvertRequest(parser_->get(), request)) {
    Write({ .status_ = 400, .body_ = "malformed request target\n" });
    return;
  }
  const boost::intrusive_ptr<PendingResponse> pending(
    new PendingResponse(this));
  handlerTimer_.expires_after(state_->settings_.handlerTimeout_);
  handlerTimer_.async_wait([pending](beast::error_code aError) {
    if (!aError) {
      pending->Deliver(
        { .status_ = 504, .body_ = "the request took too long\n" });
    }
  });
  const boost::intrusive_ptr<ResponseGuard> guard(new ResponseGuard(pending));
  state_->handler_(request, [guard](HttpResponse aResponse) {
    guard->pending_->Deliver(std::move(aResponse));
  });
}

void
HttpConnection::RefuseRequest(beast::error_code aError)
{
  int status = 0;
  if (aError == beast::http::error::body_limit) {
    status = 413;
  } else if (aError == beast::http::error::header_limit) {
    status = 431;
  } else if (aError.category() ==
               beast::http::make_error_code(beast::http::error::bad_method)
                 .category() &&
             aError != beast::http::error::end_of_stream &&
             aError != beast::http::error::partial_message) {
    status = 400;
  }
  if (status == 0) {
    Close();
    return;
  }
  keepAlive_ = false;
  Write({ .status_ = status, .body_ = aError.message() + "\n" });
}

void
HttpConnection::PostResponse(HttpResponse aResponse)
{
  asio::post(stream_.get_executor(),
             [self = HttpConnectionPtr(this),
              response = std::move(aResponse)]() mutable {
               self->handlerTimer_.cancel();
               self->Write(std::move(response));
             });
}

void
HttpConnection::Write(HttpResponse&& aResponse)
{
  response_ = {};
  response_.version(version_);
  response_.result(static_cast<unsigned>(aResponse.status_));
  response_.set(beast::http::field::content_type, aResponse.contentType_);
  for (const auto& [name, value] : aResponse.headers_) {
    response_.set(name, value);
  }
  response_.keep_alive(keepAlive_ && !state_->stopping_);
  response_.body() = std::move(aResponse.body_);
  response_.prepare_payload();
  stream_.expires_after(state_->settings_.writeTimeout_);
  beast::http::async_write(
    stream_,
    response_,
    [self = HttpConnectionPtr(this)](beast::error_code aError, std::size_t) {
      self->OnWritten(aError);
    });
}

void
HttpConnection::OnWritten(beast::error_code aError)
{
  if (aError || response_.need_eof()) {
    Close();
    return;
  }
  Read();
}

void
HttpConnection::Close()
{
  beast::error_code ignored;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  stream_.close();
  RemoveFromList();
}

void
HttpConnection::RemoveFromList()
{
  const std::lock_guard lock(state_->mutex_);
  if (!is_linked()) {
    return;
  }
  state_->connections_.erase(state_->connections_.iterator_to(*this));
  // The running handler holds another reference, so this is not the last one.
  intrusive_ptr_release(this);
}

std::vector<HttpConnectionPtr>
RemoveConnections(ServerState& aState)
{
  std::vector<HttpConnectionPtr> connections;
  const std::lock_guard lock(aState.mutex_);
  while (!aState.connections_.empty()) {
    ConnectionEntry& entry = aState.connections_.front();
    aState.connections_.pop_front();
    connections.emplace_back(static_cast<HttpConnection*>(&entry), false);
  }
  return connections;
}

} // namespace wigeonlb::http
