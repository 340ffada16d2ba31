#pragma once

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "http/httpserver.h"

namespace wigeonlb::http {

class HttpConnection;
using HttpConnectionPtr = boost::intrusive_ptr<HttpConnection>;

//! Place of a connection in its server's list.
struct ConnectionEntry : boost::intrusive::list_base_hook<>
{};

//! What the connections of a server share.
struct ServerState
{
  RequestHandler handler_;
  HttpServerSettings settings_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_; //!< of connections_
  //! Each holds one count of its connection until it's closed.
  boost::intrusive::list<ConnectionEntry> connections_;
};

//! One caller's connection: reads a request, hands it on, writes the answer.
//! All of it runs on the connection's strand.
class HttpConnection
  : public ConnectionEntry
  , public boost::intrusive_ref_counter<HttpConnection,
                                        boost::thread_safe_counter>
{
public:
  HttpConnection(boost::asio::ip::tcp::socket aSocket,
                 std::shared_ptr<ServerState> aState);

  //! Enters the server's list and reads the first request.
  void Start();

  //! Closes the connection if it's idle, else after the present answer.
  //! Callable from any thread.
  void Stop();

  //! Writes the answer of the present request. Callable from any thread, once
  //! for each request.
  void PostResponse(HttpResponse aResponse);

private:
  using StringResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
  using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  void OnRead(boost::beast::error_code aError);
  void HandleRequest();
  void RefuseRequest(boost::beast::error_code aError);
  void Write(HttpResponse&& aResponse);
  void OnWritten(boost::beast::error_code aError);
  void Close();
  void RemoveFromList();

  std::shared_ptr<ServerState> state_;
  boost::beast::tcp_stream stream_;
  boost::asio::steady_timer handlerTimer_;
  boost::beast::flat_buffer buffer_;
  std::optional<RequestParser> parser_;
  StringResponse response_;
  bool reading_ = false;
  bool keepAlive_ = false;
  unsigned version_ = 11;
};

//! Takes every connection off the server's list.
std::vector<HttpConnectionPtr>
RemoveConnections(ServerState& aState);

} // namespace wigeonlb::http
