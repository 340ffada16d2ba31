#include "http/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include "http/internal/httpconnection.h"

namespace wigeonlb::http {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelayMs{ 100 };

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  explicit Impl(asio::io_context& aContext)
    : context_(aContext)
    , strand_(asio::make_strand(aContext))
    , acceptor_(strand_)
    , retryTimer_(strand_)
  {
  }

  std::error_code Open();
  void Accept();
  void AcceptQueued();
  void AddConnection(tcp::socket aSocket);
  void OnAccepted(boost::system::error_code aError, tcp::socket aSocket);
  void Stop();

  asio::io_context& context_;
  asio::strand<asio::io_context::executor_type> strand_;
  tcp::acceptor acceptor_;
  asio::steady_timer retryTimer_;
  std::string address_;
  std::uint16_t port_ = 0;
  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();
};

std::error_code
HttpServer::Impl::Open()
{
  boost::system::error_code error;
  const asio::ip::address address = asio::ip::make_address(address_, error);
  if (error) {
    return error;
  }
  const tcp::endpoint endpoint(address, port_);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    port_ = acceptor_.local_endpoint(error).port();
  }
  return error;
}

void
HttpServer::Impl::Accept()
{
  acceptor_.async_accept(
    asio::make_strand(context_),
    [self = shared_from_this()](boost::system::error_code aError,
                                tcp::socket aSocket) {
      self->OnAccepted(aError, std::move(aSocket));
    });
}

void
HttpServer::Impl::OnAccepted(boost::system::error_code aError,
                             tcp::socket aSocket)
{
  if (!aError) {
    AddConnection(std::move(aSocket)); // also when accepting has stopped
  }
  if (state_->stopping_) {
    return;
  }
  if (aError) {
    // Usually out of file descriptors; an immediate retry would be a busy loop.
    retryTimer_.expires_after(kAcceptRetryDelayMs);
    retryTimer_.async_wait(
      [self = shared_from_this()](boost::system::error_code aWaitError) {
        if (!aWaitError && !self->state_->stopping_) {
          self->Accept();
        }
      });
    return;
  }
  Accept();
}

void
HttpServer::Impl::AddConnection(tcp::socket aSocket)
{
  std::size_t count = 0;
  {
    const std::lock_guard lock(state_->mutex_);
    count = state_->connections_.size();
  }
  if (count < state_->settings_.maxConnections_) {
    const HttpConnectionPtr connection(
      new HttpConnection(std::move(aSocket), state_));
    connection->Start();
  }
}

//! Closing the listening socket would reset the connections in its queue.
void
HttpServer::Impl::AcceptQueued()
{
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(asio::make_strand(context_));
    acceptor_.accept(socket, error);
    if (!error) {
      AddConnection(std::move(socket));
    }
  }
}

void
HttpServer::Impl::Stop()
{
  if (state_->stopping_.exchange(true)) {
    return;
  }
  asio::post(strand_, [self = shared_from_this()] {
    self->AcceptQueued();
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
    self->retryTimer_.cancel();
  });
  for (const HttpConnectionPtr& connection : RemoveConnections(*state_)) {
    connection->Stop();
  }
}

HttpServer::HttpServer(asio::io_context& aContext,
                       std::string aAddress,
                       std::uint16_t aPort,
                       RequestHandler aHandler,
                       HttpServerSettings aSettings)
  : impl_(std::make_shared<Impl>(aContext))
{
  impl_->address_ = std::move(aAddress);
  impl_->port_ = aPort;
  impl_->state_->handler_ = std::move(aHandler);
  impl_->state_->settings_ = aSettings;
}

HttpServer::~HttpServer()
{
  Stop();
}

std::error_code
HttpServer::Start()
{
  if (const std::error_code error = impl_->Open()) {
    return error;
  }
  asio::post(impl_->strand_, [impl = impl_] { impl->Accept(); });
  return {};
}

void
HttpServer::Stop()
{
  impl_->Stop();
}

std::size_t
HttpServer::ConnectionCount() const
{
  return impl_->state_->connectionCount_;
}

std::uint16_t
HttpServer::Port() const
{
  return impl_->port_;
}

} // namespace wigeonlb::http
