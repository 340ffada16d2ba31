#include <catch2/catch.hpp>

#include <thread>

#include "peer/tests/testhost.h"

namespace wigeonlb::peer {

namespace {

//! Returns true if the host's link to its first peer is closed.
bool
IsLinkClosed(const TestHost& aHost)
{
  return !aHost.links_->Counters().front().reachable_;
}

wire::PeerMessage
Request(std::uint64_t aRequest)
{
  wire::PeerMessage message;
  message.mutable_forward_request()->set_request(aRequest);
  return message;
}

wire::PeerMessage
End(std::uint64_t aRequest)
{
  wire::PeerMessage message;
  message.mutable_forward_end()->set_request(aRequest);
  return message;
}

wire::PeerMessage
Heartbeat()
{
  wire::PeerMessage message;
  message.mutable_heartbeat()->set_sequence(1);
  return message;
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

TEST_CASE("messages arrive in order and name their sender", "[peerlinks]")
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

TEST_CASE("messages that are queued when a host stops are sent first",
          "[peerlinks]")
{
  const std::size_t count = GENERATE(1, 3000);
  TestHost left("left");
  TestHost right("right");
  Connect(left, right);
  for (std::size_t request = 0; request < count; ++request) {
    REQUIRE_FALSE(left.links_->Send("right", Frames(request, 1024)));
  }
  left.links_->Stop(kWaitLimitSeconds);
  left.links_.reset();
  REQUIRE(right.WaitMessages(count));
  CHECK(right.messages_.back().forward_frames().request() == count - 1);
}

TEST_CASE("Send returns its errors immediately", "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.queueLimit_ = 10;
  settings.queueAgeLimit_ = std::chrono::hours(1);
  TestHost left("left", settings);
  CHECK(left.links_->Send("right", Frames(1)) == PeerError::UnknownPeer);
  // Nothing listens on this address, so the queue fills up.
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

TEST_CASE("a host that was held up itself does not take its peer for lost",
          "[peerlinks]")
{
  // The pong for its last ping lies unread in its socket, behind messages.
  const std::size_t count = GENERATE(1500, 5000);
  PeerLinksSettings settings;
  settings.pingInterval_ = std::chrono::milliseconds(100);
  settings.lostAfter_ = 10 * settings.pingInterval_;
  TestHost left("left", settings);
  // The peer itself is patient, so that it loses no message.
  PeerLinksSettings patient;
  patient.lostAfter_ = 2 * kWaitLimitSeconds;
  patient.queueAgeLimit_ = 2 * kWaitLimitSeconds;
  TestHost right("right", patient);
  Connect(left, right);
  // The first pause makes a ping due. The second one begins after that ping,
  // as at most 1000 messages are received in one turn.
  std::size_t received = 0;
  left.onMessage_ = [&] {
    ++received;
    if (received == 1) {
      std::this_thread::sleep_for(settings.lostAfter_ / 4);
    } else if (received == 1002) {
      std::this_thread::sleep_for(2 * settings.lostAfter_);
    }
  };
  for (std::size_t request = 0; request < count; ++request) {
    REQUIRE_FALSE(right.links_->Send("left", Frames(request)));
  }
  CHECK(left.WaitMessages(count));
  CHECK(left.WaitReachable("right", true));
  CHECK(right.WaitReachable("left", true));
  CHECK(left.lost_.empty());
}

TEST_CASE("answers for a peer that is silent for a while are delivered late, "
          "requests are not",
          "[peerlinks]")
{
  const bool lostMeanwhile = GENERATE(true, false);
  PeerLinksSettings settings;
  settings.queueAgeLimit_ = std::chrono::milliseconds(300);
  settings.lostAfter_ =
    lostMeanwhile ? std::chrono::milliseconds(500) : kWaitLimitSeconds;
  TestHost left("left", settings);
  auto right = std::make_unique<TestHost>("right");
  Connect(left, *right);
  const std::string address = right->links_->BoundAddress();
  right.reset();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  REQUIRE_FALSE(left.links_->Send("right", Request(1)));
  REQUIRE_FALSE(left.links_->Send("right", Frames(2)));
  REQUIRE_FALSE(left.links_->Send("right", End(3)));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(left.lost_.contains("right") == lostMeanwhile);
  // The same start of the peer: only its link was interrupted.
  right = std::make_unique<TestHost>("right", PeerLinksSettings{}, address);
  const PeerEndpoint leftOnly[] = { left.Endpoint("left") };
  right->links_->SetPeers(leftOnly);
  REQUIRE(left.WaitReachable("right", true));
  REQUIRE_FALSE(left.links_->Send("right", Frames(4)));
  REQUIRE(right->WaitUntil([&] {
    return !right->messages_.empty() &&
           right->messages_.back().forward_frames().request() == 4;
  }));
  REQUIRE(right->messages_.size() == 3);
  CHECK(right->messages_[0].forward_frames().request() == 2);
  CHECK(right->messages_[1].forward_end().request() == 3);
}

TEST_CASE("sending on an idle link detects a lost peer", "[peerlinks]")
{
  // All idle links together are pinged only once per second.
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

TEST_CASE("CheckReachability on an idle link detects a lost peer",
          "[peerlinks]")
{
  // With one ping in ten minutes only CheckReachability detects the loss.
  PeerLinksSettings settings;
  settings.pingInterval_ = std::chrono::minutes(10);
  TestHost left("left", settings);
  auto right = std::make_unique<TestHost>("right");
  Connect(left, *right);
  right.reset();
  REQUIRE_FALSE(left.links_->CheckReachability("right"));
  CHECK(left.WaitReachable("right", false));
}

TEST_CASE("a link is opened on use and closed after the idle time",
          "[peerlinks]")
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

TEST_CASE("an unused link that is kept open is pinged", "[peerlinks]")
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

TEST_CASE("a host that never responds is reported as lost when used, and only "
          "answers are kept for it",
          "[peerlinks]")
{
  struct Row
  {
    wire::PeerMessage message_;
    std::uint64_t dropped_;
  };
  const auto row = GENERATE_COPY(values<Row>({
    { Request(1), 1 },
    { Heartbeat(), 1 },
    { Frames(1), 0 },
    { End(1), 0 },
  }));
  PeerLinksSettings settings;
  settings.queueAgeLimit_ = 2 * kWaitLimitSeconds; // so that the loss decides
  TestHost left("left", settings);
  const PeerEndpoint peers[] = { { "dead", "127.0.0.1:1" } };
  left.links_->SetPeers(peers);
  REQUIRE_FALSE(left.links_->Send("dead", row.message_));
  CHECK(left.WaitUntil([&] { return left.lost_.contains("dead"); }));
  // The link thread drops a request of which it sees that it is too late.
  REQUIRE_FALSE(left.links_->Send("dead", Request(2)));
  CHECK((row.dropped_ == 0 || left.WaitUntil([&] {
    return left.links_->Counters().front().messagesDropped_ == row.dropped_;
  })));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(left.links_->Counters().front().messagesDropped_ == row.dropped_);
}

TEST_CASE("an answer is dropped when no caller can wait for it any more",
          "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.answerAgeLimit_ = std::chrono::milliseconds(600);
  TestHost left("left", settings);
  const PeerEndpoint peers[] = { { "dead", "127.0.0.1:1" } };
  left.links_->SetPeers(peers);
  REQUIRE_FALSE(left.links_->Send("dead", End(1)));
  CHECK(left.WaitUntil(
    [&] { return left.links_->Counters().front().messagesDropped_ == 1; }));
}

TEST_CASE("a peer that was removed from the list is unknown", "[peerlinks]")
{
  TestHost left("left");
  TestHost right("right");
  Connect(left, right);
  left.links_->SetPeers({});
  CHECK(left.links_->Send("right", Frames(1)) == PeerError::UnknownPeer);
  CHECK(left.WaitReachable("right", false));
  CHECK(left.links_->Counters().empty());
}

TEST_CASE("a host that its peer does not know yet gets an answer",
          "[peerlinks]")
{
  struct Row
  {
    bool announces_; //!< the host tells its address
    bool answered_;
  };
  const auto row = GENERATE(values<Row>({ { true, true }, { false, false } }));
  // The host listens on a port that another host used before, to announce it.
  const std::string address = TestHost("former").links_->BoundAddress();
  PeerLinksSettings settings;
  settings.announcedAddress_ = row.announces_ ? address : "";
  TestHost joining("joining", settings, address);
  TestHost owner("owner");
  const PeerEndpoint peers[] = { { "owner", owner.links_->BoundAddress() } };
  joining.links_->SetPeers(peers);
  REQUIRE_FALSE(joining.links_->Send("owner", Frames(1)));
  REQUIRE(owner.WaitMessages(1));
  CHECK(!owner.links_->Send("joining", Frames(2)) == row.answered_);
  CHECK((!row.answered_ || joining.WaitMessages(1)));
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

TEST_CASE("a peer known by its messages only is forgotten when it is unused",
          "[peerlinks]")
{
  const bool answerStaysQueued = GENERATE(false, true);
  const std::string address = TestHost("former").links_->BoundAddress();
  PeerLinksSettings settings;
  settings.announcedAddress_ = address;
  TestHost joining("joining", settings, address);
  PeerLinksSettings closing;
  closing.closeAfter_ = std::chrono::milliseconds(400);
  TestHost owner("owner", closing);
  const PeerEndpoint peers[] = { { "owner", owner.links_->BoundAddress() } };
  joining.links_->SetPeers(peers);
  REQUIRE_FALSE(joining.links_->Send("owner", Frames(1)));
  REQUIRE(owner.WaitMessages(1));
  owner.links_->SetPeers({});
  if (!answerStaysQueued) {
    CHECK_FALSE(owner.links_->Send("joining", Frames(2)));
    REQUIRE(joining.WaitMessages(1));
  }
  joining.links_->Stop();
  if (answerStaysQueued) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CHECK_FALSE(owner.links_->Send("joining", Frames(2)));
  }
  CHECK(owner.WaitUntil([&] { return owner.links_->Counters().empty(); }));
}

TEST_CASE("the byte budget delays snapshots, not heartbeats", "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.snapshotRate_ = 1;
  settings.snapshotBurst_ = 20000;
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
  // Without the limit, only the newest of the delayed snapshots arrives.
  left.links_->SetSnapshotRate(0);
  REQUIRE(right.WaitMessages(3));
  CHECK(right.messages_[2].heartbeat_reply().revision() == 5);
}

TEST_CASE("heartbeats leave the byte budget to the snapshots", "[peerlinks]")
{
  PeerLinksSettings settings;
  settings.snapshotRate_ = 1;
  settings.snapshotBurst_ = 20000;
  TestHost left("left", settings);
  TestHost right("right");
  Connect(left, right);
  const std::size_t count = 300;
  for (std::size_t sequence = 1; sequence <= count; ++sequence) {
    wire::PeerMessage heartbeat;
    heartbeat.mutable_heartbeat()->set_sequence(sequence);
    heartbeat.mutable_heartbeat()->mutable_sender()->set_host(
      std::string(200, 'h'));
    REQUIRE_FALSE(left.links_->Send("right", heartbeat));
  }
  REQUIRE_FALSE(left.links_->Send("right", WholeReply(1, 19000)));
  REQUIRE(right.WaitMessages(count + 1));
  CHECK(right.messages_.back().heartbeat_reply().revision() == 1);
  CHECK(left.links_->Counters().front().snapshotsDelayed_ == 0);
}

} // namespace wigeonlb::peer
