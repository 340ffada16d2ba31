#include "peer/tests/testhost.h"

#include <future>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <unistd.h>

#include "testing/relay/relay.h"

namespace wigeonlb::testing::relay {

namespace {

using peer::Frames;
using peer::PeerEndpoint;
using peer::TestHost;

std::string
PortOf(const std::string& aAddress)
{
  return aAddress.substr(aAddress.rfind(':') + 1);
}

//! A relay on its own thread, and two hosts that connect through it.
struct RelayedHosts
{
  RelayedHosts()
  {
    Run("process test " + std::to_string(getpid()));
    const PeerEndpoint peers[] = { { "left", Route("left", left_), true },
                                   { "right", Route("right", right_), true } };
    left_.links_->SetPeers(peers);
    right_.links_->SetPeers(peers);
    WaitBoth(true);
  }

  ~RelayedHosts()
  {
    context_.stop();
    thread_.join();
  }

  void WaitBoth(bool aReachable)
  {
    REQUIRE(left_.WaitReachable("right", aReachable));
    REQUIRE(right_.WaitReachable("left", aReachable));
  }

  std::string Route(const std::string& aName, const TestHost& aHost)
  {
    boost::asio::ip::tcp::acceptor free(
      context_, { boost::asio::ip::address_v4::loopback(), 0 });
    const std::string port = std::to_string(free.local_endpoint().port());
    free.close();
    Run("route " + port + " " + PortOf(aHost.links_->BoundAddress()) + " " +
        aName);
    return "127.0.0.1:" + port;
  }

  void Run(const std::string& aCommand)
  {
    std::promise<std::string> error;
    boost::asio::post(context_, [&] { error.set_value(relay_.Run(aCommand)); });
    REQUIRE(error.get_future().get().empty());
  }

  boost::asio::io_context context_{ 1 };
  Relay relay_{ context_ };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_{ context_.get_executor() };
  std::thread thread_{ [this] { context_.run(); } };
  TestHost left_{ "left" };
  TestHost right_{ "right" };
};

wire::PeerMessage
Request(std::uint64_t aNumber)
{
  wire::PeerMessage message;
  message.mutable_forward_request()->set_request(aNumber);
  return message;
}

} // namespace

TEST_CASE("a silent or refused link makes the peer unreachable until it heals, "
          "and drops the requests of that time",
          "[relay]")
{
  const std::string mode = GENERATE("silent", "refused");
  RelayedHosts hosts;
  hosts.Run("link test left,right " + mode + " 0");
  hosts.Run("link left,right test " + mode + " 0");
  CHECK_FALSE(hosts.left_.links_->Send("right", Request(1)));
  CHECK_FALSE(hosts.right_.links_->Send("left", Request(2)));
  hosts.WaitBoth(false);
  hosts.Run("heal lost");
  hosts.WaitBoth(true);
  REQUIRE_FALSE(hosts.left_.links_->Send("right", Request(3)));
  REQUIRE(hosts.right_.WaitMessages(1));
  CHECK(hosts.right_.messages_.front().forward_request().request() == 3);
  CHECK(hosts.left_.messages_.empty());
}

TEST_CASE("bytes queued by a silent link arrive once it is open", "[relay]")
{
  RelayedHosts hosts;
  hosts.Run("link test right silent 0");
  CHECK_FALSE(hosts.left_.links_->Send("right", Frames(1)));
  hosts.WaitBoth(false);
  CHECK(hosts.right_.messages_.empty());
  hosts.Run("heal open");
  REQUIRE(hosts.right_.WaitMessages(1));
}

TEST_CASE("a delayed link delays messages in its direction", "[relay]")
{
  RelayedHosts hosts;
  hosts.Run("link test right open 50");
  const auto start = foundation::SteadyNow();
  REQUIRE_FALSE(hosts.left_.links_->Send("right", Frames(1)));
  REQUIRE(hosts.right_.WaitMessages(1));
  CHECK(foundation::SteadyNow() - start >= std::chrono::milliseconds(50));
}

} // namespace wigeonlb::testing::relay
