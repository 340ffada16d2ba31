#include <catch2/catch.hpp>

#include <optional>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>

#include "http/asyncrequest.h"

namespace wigeonlb::http {

namespace {

using boost::asio::ip::tcp;
using foundation::Duration;

constexpr std::chrono::seconds kTimeoutSeconds{ 20 };
constexpr std::chrono::milliseconds kLimitMs{ 50 };

//! Accepts one connection, reads what arrives until the sender waits for the
//! response or closes, and then closes the connection.
std::string
ReceiveOnce(tcp::acceptor& aAcceptor)
{
  tcp::socket socket = aAcceptor.accept();
  std::string received(1, '\0');
  boost::system::error_code error;
  received.resize(
    boost::asio::read(socket, boost::asio::buffer(received), error));
  return received;
}

} // namespace

TEST_CASE("a request does not leave after its time limit", "[asyncrequest]")
{
  struct Row
  {
    std::string_view what_;
    std::optional<Duration> limit_;
    Duration suspended_; //!< before the connection is seen to be open
    bool sent_;
  };
  const auto row = GENERATE(values<Row>({
    { "without a limit", std::nullopt, Duration::zero(), true },
    { "before the limit", kTimeoutSeconds, Duration::zero(), true },
    { "suspended until after the limit", kLimitMs, 2 * kLimitMs, false },
  }));
  INFO(row.what_);
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  OutgoingRequest request;
  request.address_ =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  request.method_ = "POST";
  request.target_ = "/";
  if (row.limit_) {
    request.sendBefore_ = foundation::SteadyNow() + *row.limit_;
  }
  std::optional<HttpResult> result;
  SendRequest(context, request, kTimeoutSeconds, [&](HttpResult aResult) {
    result = std::move(aResult);
  });
  std::this_thread::sleep_for(row.suspended_);
  std::string received;
  std::thread server([&] { received = ReceiveOnce(acceptor); });
  context.run();
  server.join();

  REQUIRE(result);
  CHECK(result->sent_ == row.sent_);
  CHECK(received.empty() != row.sent_);
  CHECK((result->error_ == std::errc::operation_canceled) != row.sent_);
}

} // namespace wigeonlb::http
