#include <catch2/catch.hpp>

#include <future>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "http/httpclient.h"
#include "http/httprouter.h"
#include "http/httpserver.h"

namespace wigeonlb::http {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::seconds kTimeoutSeconds{ 20 };

//! A server that runs on its own thread.
struct TestServer
{
  explicit TestServer(HttpServerSettings aSettings = {})
    : server_(context_, "127.0.0.1", 0, Handler(), aSettings)
  {
    router_.Add(
      "POST", "/echo", [](const HttpRequest& aRequest, auto aRespond) {
        aRespond({ .body_ = aRequest.body_ + aRequest.query_.at("x"),
                   .headers_ = { { "Retry-After", "2" } } });
      });
    router_.Add("GET", "/ignored", [](const HttpRequest&, auto) {});
    router_.Add("GET", "/kept", [this](const HttpRequest&, auto aRespond) {
      kept_ = aRespond;
      isKept_.set_value();
    });
    REQUIRE_FALSE(server_.Start());
    thread_ = std::thread([this] { context_.run(); });
  }

  ~TestServer()
  {
    server_.Stop();
    kept_ = {};
    thread_.join();
  }

  RequestHandler Handler()
  {
    return [this](const HttpRequest& aRequest, ResponseCallback aRespond) {
      router_.Handle(aRequest, std::move(aRespond));
    };
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(server_.Port());
  }

  //! Sends raw bytes and reads until the server closes the connection.
  std::string Exchange(const std::string& aBytes) const
  {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(
      { boost::asio::ip::make_address("127.0.0.1"), server_.Port() });
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  boost::asio::io_context context_;
  HttpRouter router_;
  ResponseCallback kept_;
  std::promise<void> isKept_;
  HttpServer server_;
  std::thread thread_;
};

std::size_t
CountOccurrences(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

} // namespace

TEST_CASE("requests are routed and answered", "[httpserver]")
{
  struct Row
  {
    std::string method_;
    std::string target_;
    std::size_t bodyBytes_;
    int status_;
  };
  const auto row = GENERATE(values<Row>({
    { "POST", "/echo?x=%2B", 10, 200 },
    { "GET", "/echo?x=1", 0, 405 },
    { "GET", "/other", 0, 404 },
    { "GET", "/%", 0, 400 },
    { "GET", "/ignored", 0, 500 },
    { "GET", "/kept", 0, 504 },
    { "POST", "/echo?x=1", 5000, 413 },
  }));
  HttpServerSettings settings;
  settings.maxBodyBytes_ = 1000;
  settings.handlerTimeout_ = std::chrono::milliseconds(50);
  const TestServer server(settings);
  const std::string body(row.bodyBytes_, 'b');
  const HttpResult result = HttpClient::Request(
    server.Address(), row.method_, row.target_, body, kTimeoutSeconds);
  REQUIRE_FALSE(result.error_);
  CHECK(result.response_.status_ == row.status_);
  if (row.status_ == 200) {
    CHECK(result.response_.body_ == body + "+");
    CHECK(result.response_.headers_.at("Retry-After") == "2");
  }
}

TEST_CASE("a connection serves several requests", "[httpserver]")
{
  const TestServer server;
  const std::string answers =
    server.Exchange("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
                    "GET /c HTTP/1.1\r\nConnection: close\r\n\r\n");
  CHECK(CountOccurrences(answers, "HTTP/1.1 404 ") == 3);
}

TEST_CASE("connections with malformed or incomplete requests are closed",
          "[httpserver]")
{
  struct Row
  {
    std::string bytes_;
    std::string answer_;
  };
  const auto row = GENERATE(values<Row>({
    { "nonsense\r\n\r\n", "HTTP/1.1 400 " },
    { "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a') + "\r\n\r\n",
      "HTTP/1.1 431 " },
    { "GET / HTTP/1.1\r\nHost", "" },
    { "", "" },
  }));
  HttpServerSettings settings;
  settings.readTimeout_ = std::chrono::milliseconds(50);
  const TestServer server(settings);
  const std::string answer = server.Exchange(row.bytes_);
  CHECK(answer.substr(0, row.answer_.size()) == row.answer_);
  CHECK(answer.empty() == row.answer_.empty());
}

TEST_CASE("Stop lets a request finish, then closes the connection",
          "[httpserver]")
{
  TestServer server;
  std::thread stopper([&] {
    server.isKept_.get_future().wait();
    server.server_.Stop();
    server.kept_({ .body_ = "late" });
  });
  const std::string answer = server.Exchange("GET /kept HTTP/1.1\r\n\r\n");
  stopper.join();
  CHECK(CountOccurrences(answer, "late") == 1);
}

TEST_CASE("Stop answers the requests that have arrived", "[httpserver]")
{
  const std::string request = "PUT /config HTTP/1.1\r\nContent-Length: 2\r\n"
                              "\r\nok";
  const bool isAccepted = GENERATE(true, false); // when the server stops
  boost::asio::io_context context;
  HttpServer server(
    context, "127.0.0.1", 0, [](const HttpRequest& aRequest, auto aRespond) {
      aRespond({ .body_ = aRequest.body_ });
    });
  REQUIRE_FALSE(server.Start());
  context.poll();
  boost::asio::io_context clientContext;
  tcp::socket client(clientContext);
  client.connect({ boost::asio::ip::make_address("127.0.0.1"), server.Port() });
  if (isAccepted) {
    context.run_for(std::chrono::milliseconds(50));
  }
  boost::asio::write(client, boost::asio::buffer(request));
  server.Stop();
  context.restart();
  context.run_for(std::chrono::milliseconds(500));
  std::string answer;
  boost::system::error_code error;
  boost::asio::read(client, boost::asio::dynamic_buffer(answer), error);
  CHECK(answer.starts_with("HTTP/1.1 200 "));
}

TEST_CASE("the client reports whether the server may have received a request",
          "[httpclient]")
{
  boost::asio::io_context context;
  tcp::acceptor unresponsive(context,
                             { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const std::string unresponsiveAddress =
    "127.0.0.1:" + std::to_string(unresponsive.local_endpoint().port());
  struct Row
  {
    std::string address_;
    bool sent_;
    bool timedOut_;
  };
  const auto row = GENERATE_COPY(values<Row>({
    { unresponsiveAddress, true, true },
    { "127.0.0.1:1", false, false },
    { "no-port", false, false },
    { "127.0.0.1:port", false, false },
  }));
  const HttpResult result = HttpClient::Request(
    row.address_, "GET", "/", "", std::chrono::milliseconds(100));
  CHECK(result.error_);
  CHECK(result.sent_ == row.sent_);
  CHECK((result.error_ == std::errc::timed_out) == row.timedOut_);
}

} // namespace wigeonlb::http
