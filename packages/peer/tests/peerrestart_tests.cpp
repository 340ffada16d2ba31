#include <catch2/catch.hpp>

#include <thread>

#include "peer/tests/testhost.h"

namespace wigeonlb::peer {

TEST_CASE("a peer that restarts on its address is reachable again",
          "[peerlinks]")
{
  TestHost left("left");
  auto right = std::make_unique<TestHost>("right");
  Connect(left, *right);
  const std::string address = right->links_->BoundAddress();
  right.reset();
  REQUIRE(left.WaitReachable("right", false));
  right = std::make_unique<TestHost>("right", PeerLinksSettings{}, address);
  Connect(left, *right);
  REQUIRE_FALSE(left.links_->Send("right", Frames(1)));
  CHECK(right->WaitMessages(1));
}

TEST_CASE("a peer that restarts before a time-out is reported with its present "
          "boot, and keeps what is queued for it",
          "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.lostAfter_ = 2 * kWaitLimitSeconds;
  TestHost left("left", settings);
  auto right = std::make_unique<TestHost>("right", settings);
  Connect(left, *right);
  CHECK(left.lost_.empty());
  settings.boot_ = 8;
  const std::string address = right->links_->BoundAddress();
  right.reset();
  right = std::make_unique<TestHost>("right", settings, address);
  const PeerEndpoint leftOnly[] = { left.Endpoint("left") };
  right->links_->SetPeers(leftOnly);
  REQUIRE_FALSE(right->links_->Send("left", Frames(1)));
  constexpr std::size_t kCount = 200;
  for (std::size_t request = 0; request < kCount; ++request) {
    REQUIRE_FALSE(left.links_->Send("right", Frames(request)));
  }
  CHECK(left.WaitUntil([&] { return left.restarted_.contains("right"); }));
  CHECK(left.restarted_["right"] == 8);
  CHECK(left.WaitReachable("right", true));
  CHECK(left.lost_.empty());
  CHECK(right->WaitMessages(kCount));
}

TEST_CASE(
  "a late message of a peer's former start is no loss of the present one",
  "[peerlinks]")
{
  const std::uint64_t starts = GENERATE(2, 3); // the first sends late
  PeerLinksSettings settings;
  settings.lostAfter_ = 2 * kWaitLimitSeconds;
  TestHost left("left", settings);
  const PeerEndpoint leftOnly[] = { left.Endpoint("left") };
  settings.boot_ = 1;
  TestHost late("right", settings); // its messages are held back
  late.links_->SetPeers(leftOnly);
  std::unique_ptr<TestHost> right;
  std::string address = "127.0.0.1:0";
  for (std::uint64_t boot = 1; boot <= starts; ++boot) {
    right.reset();
    settings.boot_ = boot;
    right = std::make_unique<TestHost>("right", settings, address);
    address = right->links_->BoundAddress();
    if (boot == 1) {
      Connect(left, *right);
    }
    right->links_->SetPeers(leftOnly);
    REQUIRE_FALSE(right->links_->CheckReachability("left"));
    REQUIRE(right->WaitReachable("left", true));
    REQUIRE(left.WaitUntil(
      [&] { return left.restarted_.contains("right") == (boot > 1); }));
    REQUIRE(left.WaitReachable("right", true));
    left.Update([&] { left.restarted_.clear(); });
  }
  REQUIRE_FALSE(late.links_->Send("left", Frames(1)));
  REQUIRE(left.WaitMessages(1));
  left.Update([&] { CHECK(left.lost_.empty()); });
  left.Update([&] { CHECK(left.restarted_.empty()); });
}

TEST_CASE(
  "a peer that has started again can answer a host that has not noticed "
  "it",
  "[peerlinks]")
{
  const std::string address = TestHost("former").links_->BoundAddress();
  PeerLinksSettings settings;
  settings.lostAfter_ = 2 * kWaitLimitSeconds;
  settings.announcedAddress_ = address;
  TestHost left("left", settings, address);
  PeerLinksSettings restarted;
  auto right = std::make_unique<TestHost>("right", restarted);
  Connect(left, *right);
  restarted.boot_ = 8;
  const std::string rightAddress = right->links_->BoundAddress();
  right.reset();
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  right = std::make_unique<TestHost>("right", restarted, rightAddress);
  // A message may be lost with the connection to the former start.
  REQUIRE(right->WaitUntil([&] {
    (void)left.links_->Send("right", Frames(1));
    return !right->messages_.empty();
  }));
  CHECK(left.restarted_.empty());
  CHECK_FALSE(right->links_->Send("left", Frames(2)));
  CHECK(left.WaitUntil([&] { return left.restarted_.contains("right"); }));
}

} // namespace wigeonlb::peer
