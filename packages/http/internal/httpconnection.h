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

//! List hook of a connection in its server's list.
struct ConnectionEntry : boost::intrusive::list_base_hook<>
{};

//! State shared by the connections of a server.
struct ServerState
{
  RequestHandler handler_;
  HttpServerSettings settings_;
  std::atomic<bool> stopping_{ false };
  std::atomic<std::size_t> connectionCount_{ 0 };
  std::mutex mutex_; //!< guards connections_
  //! Each entry holds a reference to its connection until that is closed.
  boost::intrusive::list<ConnectionEntry> connections_;
};

//! One client connection: reads a request, calls the handler and writes the
//! response. Runs on the connection's strand.
class HttpConnection
  : public ConnectionEntry
  , public boost::intrusive_ref_counter<HttpConnection,
                                        boost::thread_safe_counter>
{
public:
  HttpConnection(boost::asio::ip::tcp::socket aSocket,
                 std::shared_ptr<ServerState> aState);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  //! Adds the connection to the server's list and reads the first request.
  void Start();

  //! Closes the connection if no request has arrived, otherwise after the
  //! current response. Callable from any thread.
  void Stop();

  //! Writes the response to the current request. Callable from any thread, once
  //! per request.
  void PostResponse(HttpResponse aResponse);

private:
  using StringResponse =
    boost::beast::http::response<boost::beast::http::string_body>;
  using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool HasArrivedInput();
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

//! Removes all connections from the server's list and returns them.
std::vector<HttpConnectionPtr>
RemoveConnections(ServerState& aState);

} // namespace wigeonlb::http
