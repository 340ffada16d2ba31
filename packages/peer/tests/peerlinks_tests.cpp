#include <catch2/catch.hpp>

#include "peer/tests/testhost.h"

namespace wigeonlb::peer {

namespace {

//! Whether no link of the host is open.
bool
IsLinkClosed(const TestHost& aHost)
{
  return !aHost.links_->Counters().front().reachable_;
}

wire::PeerMessage
WholeReply(std::uint64_t aRevision, std::size_t aBytes)
{
  wire::PeerMessage message;
  wire::HeartbeatReply* reply = message.mutable_heartbeat_reply();
  reply->set_whole(true);
  reply->set_revision(aRevision);
  reply->add_groups()->set_reason(std::string(aBytes, 'x'));
  return message;
}

} // namespace

TEST_CASE("messages arrive in order, named after their sender", "[peerlinks]")
{
  TestHost left("left");
  TestHost right("right");
  Connect(left, right);
  const std::size_t count = 3000;
  for (std::size_t request = 0; request < count; ++request) {
    REQUIRE_FALSE(left.links_->Send("right", Frames(request)));
  }
  REQUIRE(right.WaitMessages(count));
  for (std::size_t request = 0; request < count; ++request) {
    REQUIRE(right.messages_[request].forward_frames().request() == request);
  }
  CHECK(right.messages_.front().from() == "left");
  CHECK(right.messages_.front().boot() == 7);
  const PeerCounters sent = left.links_->Counters().front();
  const PeerCounters received = right.links_->Counters().front();
  CHECK(sent.forwardBytesSent_ == received.forwardBytesReceived_);
  CHECK(sent.controlBytesSent_ > 0);
  CHECK(sent.messagesDropped_ == 0);
}

TEST_CASE("errors of Send are told at once", "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.queueLimit_ = 10;
  settings.queueAgeLimit_ = std::chrono::hours(1);
  TestHost left("left", settings);
  CHECK(left.links_->Send("right", Frames(1)) == PeerError::UnknownPeer);
  // Nothing listens there, so the queue fills.
  const PeerEndpoint peers[] = { { "right", "127.0.0.1:1" },
                                 { "left", "127.0.0.1:2" } };
  left.links_->SetPeers(peers);
  CHECK(left.links_->Send("left", Frames(1)) == PeerError::UnknownPeer);
  CHECK(left.links_->Send("right", Frames(1, kMaxMessageBytes)) ==
        PeerError::MessageTooLarge);
  std::error_code error;
  for (int sent = 0; sent < 20 && !error; ++sent) {
    error = left.links_->Send("right", Frames(1));
  }
  CHECK(error == PeerError::QueueFull);
  left.links_->Stop();
  CHECK(left.links_->Send("right", Frames(1)) == PeerError::Stopped);
}

TEST_CASE("an address in use is refused", "[peerlinks]")
{
  TestHost left("left");
  PeerLinksSettings settings;
  settings.host_ = "other";
  settings.listenAddress_ = left.links_->BoundAddress();
  PeerLinks other(settings, {});
  CHECK(other.Start() == PeerError::BadAddress);
}

TEST_CASE("a peer that restarts on its address is reached again", "[peerlinks]")
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

TEST_CASE("a peer that restarts before it's missed is told as lost",
          "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.lostAfter_ = 2 * kWaitLimit;
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
  CHECK(left.WaitUntil([&] { return left.lost_.contains("right"); }));
  CHECK(left.WaitReachable("right", true));
}

TEST_CASE("a link that was idle is checked when it's used", "[peerlinks]")
{
  // Four peers at one ping a second: an idle loss would take over a minute.
  PeerLinksSettings settings;
  settings.idlePingsPerSecond_ = 1;
  TestHost left("left", settings);
  auto right = std::make_unique<TestHost>("right");
  const PeerEndpoint leftOnly[] = { left.Endpoint("left") };
  right->links_->SetPeers(leftOnly);
  const PeerEndpoint peers[] = { right->Endpoint("right"),
                                 { "dead-1", "127.0.0.1:1" },
                                 { "dead-2", "127.0.0.1:1" },
                                 { "dead-3", "127.0.0.1:1" } };
  left.links_->SetPeers(peers);
  for (const PeerEndpoint& peer : peers) {
    REQUIRE_FALSE(left.links_->CheckReachability(peer.host_));
  }
  REQUIRE(left.WaitReachable("right", true));
  right.reset();
  REQUIRE_FALSE(left.links_->Send("right", Frames(1)));
  CHECK(left.WaitReachable("right", false));
}

TEST_CASE("a link that was idle is checked when it's touched", "[peerlinks]")
{
  // One ping in ten minutes: only the touch finds the loss.
  PeerLinksSettings settings;
  settings.pingInterval_ = std::chrono::minutes(10);
  TestHost left("left", settings);
  auto right = std::make_unique<TestHost>("right");
  Connect(left, *right);
  right.reset();
  REQUIRE_FALSE(left.links_->CheckReachability("right"));
  CHECK(left.WaitReachable("right", false));
}

TEST_CASE("a link is opened on use and closed after idle time", "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.closeAfter_ = std::chrono::milliseconds(200);
  TestHost left("left", settings);
  TestHost right("right", settings);
  const PeerEndpoint peers[] = { left.Endpoint("left"),
                                 right.Endpoint("right") };
  left.links_->SetPeers(peers);
  right.links_->SetPeers(peers);
  for (std::size_t use = 1; use <= 2; ++use) {
    REQUIRE_FALSE(left.links_->Send("right", Frames(use)));
    REQUIRE(right.WaitMessages(use));
    REQUIRE(left.WaitReachable("right", true));
    REQUIRE(right.WaitUntil(
      [&] { return IsLinkClosed(left) && IsLinkClosed(right); }));
  }
  CHECK(left.lost_.empty());
  CHECK(right.lost_.empty());
}

TEST_CASE("a link that is kept open is pinged without use", "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.closeAfter_ = std::chrono::milliseconds(50);
  TestHost left("left", settings);
  auto right = std::make_unique<TestHost>("right", settings);
  const PeerEndpoint leftOnly[] = { left.Endpoint("left") };
  PeerEndpoint kept[] = { right->Endpoint("right") };
  kept[0].keepOpen_ = true;
  right->links_->SetPeers(leftOnly);
  left.links_->SetPeers(kept);
  REQUIRE(left.WaitReachable("right", true));
  std::this_thread::sleep_for(4 * settings.closeAfter_);
  CHECK(left.links_->Counters().front().reachable_);
  right.reset();
  CHECK(left.WaitReachable("right", false));
}

TEST_CASE("a host that never answers is found lost when used", "[peerlinks]")
{
  TestHost left("left");
  const PeerEndpoint peers[] = { { "dead", "127.0.0.1:1" } };
  left.links_->SetPeers(peers);
  REQUIRE_FALSE(left.links_->Send("dead", Frames(1)));
  CHECK(left.WaitUntil([&] { return left.lost_.contains("dead"); }));
  CHECK(left.links_->Counters().front().messagesDropped_ == 1);
}

TEST_CASE("a peer that was dropped from the list is unknown", "[peerlinks]")
{
  TestHost left("left");
  TestHost right("right");
  Connect(left, right);
  left.links_->SetPeers({});
  CHECK(left.links_->Send("right", Frames(1)) == PeerError::UnknownPeer);
  CHECK(left.WaitReachable("right", false));
  CHECK(left.links_->Counters().empty());
}

TEST_CASE("the budget delays snapshots, not heartbeats", "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.controlRate_ = 1;
  settings.controlBurst_ = 20000;
  TestHost left("left", settings);
  TestHost right("right");
  Connect(left, right);
  for (std::uint64_t revision = 1; revision <= 5; ++revision) {
    REQUIRE_FALSE(left.links_->Send("right", WholeReply(revision, 19000)));
  }
  wire::PeerMessage heartbeat;
  heartbeat.mutable_heartbeat()->set_sequence(1);
  REQUIRE_FALSE(left.links_->Send("right", heartbeat));
  REQUIRE(right.WaitMessages(2));
  CHECK(right.messages_[0].heartbeat_reply().revision() == 1);
  CHECK(right.messages_[1].has_heartbeat());
  CHECK(left.links_->Counters().front().snapshotsDelayed_ == 4);
  // Without the limit, the last of the delayed ones arrives in their place.
  left.links_->SetControlRate(0);
  REQUIRE(right.WaitMessages(3));
  CHECK(right.messages_[2].heartbeat_reply().revision() == 5);
}

} // namespace wigeonlb::peer
