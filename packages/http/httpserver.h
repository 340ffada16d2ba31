#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>

#include "foundation/clock.h"
#include "http/httpmessages.h"

namespace wigeonlb::http {

//! Limits of a server.
struct HttpServerSettings
{
  std::size_t maxBodyBytes_ = std::size_t{ 1024 } * 1024;
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  std::size_t maxConnections_ = 256;
  //! Time to receive a whole request; also limits idle connections.
  foundation::Duration readTimeout_ = std::chrono::seconds(30);
  //! Time for the handler to respond; then the client receives status 504.
  foundation::Duration handlerTimeout_ = std::chrono::seconds(30);
  foundation::Duration writeTimeout_ = std::chrono::seconds(10);
};

//! HTTP/1.1 server with keep-alive, on an existing io_context.
//! NOTE Several threads may run the io_context; each connection has its own
//! strand.
class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext,
             std::string aAddress,
             std::uint16_t aPort,
             RequestHandler aHandler,
             HttpServerSettings aSettings = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  //! Binds the address and starts to accept connections. Errors: system errors
  //! of bind and listen.
  std::error_code Start();

  //! Stops accepting connections and closes idle ones. Requests that have
  //! arrived, also on connections that wait to be accepted, still receive their
  //! response.
  void Stop();

  //! The number of open connections. Callable from any thread.
  std::size_t ConnectionCount() const;

  //! The bound port, also when port 0 was requested.
  std::uint16_t Port() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace wigeonlb::http
