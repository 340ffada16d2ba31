// Part of LinkThread: messages that the peers send.
#include "peer/internal/linkthread.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace wigeonlb::peer {

using foundation::Duration;
using foundation::Instant;
using foundation::SteadyNow;

namespace {

constexpr int kMessagesPerTurn = 1000;

//! Maximum number of peers that only their own messages have made known.
constexpr std::size_t kMaxUnlistedPeers = 1024;

} // namespace

void
LinkThread::ReceiveMessages()
{
  for (int received = 0; received < kMessagesPerTurn; ++received) {
    zmq::message_t identity;
    if (!router_.recv(identity, zmq::recv_flags::dontwait)) {
      return;
    }
    int frames = 1;
    zmq::message_t frame;
    while (router_.get(zmq::sockopt::rcvmore)) {
      [[maybe_unused]] const auto size = router_.recv(frame);
      ++frames;
    }
    if (frames == 2) {
      Receive(frame);
    }
  }
}

void
LinkThread::Receive(const zmq::message_t& aFrame)
{
  wire::PeerMessage message;
  if (!message.ParseFromArray(aFrame.data(), static_cast<int>(aFrame.size())) ||
      message.from().empty()) {
    return;
  }
  LinkPtr link = FindLink(table_, message.from());
  if (!link) {
    link = AddUnlistedPeer(message);
  }
  if (link) {
    auto& total = GetTrafficClass(message) == TrafficClass::Control
                    ? link->counters_.controlReceived_
                    : link->counters_.forwardReceived_;
    total += aFrame.size();
    link->lastHeard_ = SteadyNow();
    CheckBoot(*link, message.boot());
    ProcessPings(*link, message);
  }
  if (GetTrafficClass(message) == TrafficClass::Control) {
    ++busyWindow_.messages_;
  }
  const bool isPing = message.has_ping() || message.has_pong();
  if (!isPing && callbacks_.onMessage_) {
    callbacks_.onMessage_(std::move(message));
  }
}

LinkPtr
LinkThread::AddUnlistedPeer(const wire::PeerMessage& aMessage)
{
  if (aMessage.from_address().empty() || aMessage.from() == settings_.host_) {
    return {};
  }
  const std::unique_lock lock(table_.mutex_);
  const auto listed = table_.links_.find(aMessage.from());
  if (listed != table_.links_.end()) {
    return listed->second; // added since the caller looked
  }
  if (table_.unlisted_.size() >= kMaxUnlistedPeers) {
    return {};
  }
  const LinkPtr link =
    MakeLink({ aMessage.from(), aMessage.from_address() }, settings_);
  // Opened at once: a closed link of an unlisted peer is removed.
  Open(*link, SteadyNow());
  link->lastUsed_ = SteadyNow();
  table_.links_[aMessage.from()] = link;
  table_.unlisted_.insert(aMessage.from());
  ++table_.version_;
  return link;
}

//! Detects a restart of the peer. After a fast restart no ping times out. The
//! socket reconnects by itself, so what is queued for the peer is kept.
void
LinkThread::CheckBoot(Link& aLink, std::uint64_t aBoot)
{
  if (aBoot == aLink.boot_ || aLink.formerBoots_.contains(aBoot)) {
    return;
  }
  const std::uint64_t former = std::exchange(aLink.boot_, aBoot);
  if (former == 0) {
    return;
  }
  aLink.formerBoots_.insert(former);
  if (!aLink.dealer_) {
    return;
  }
  aLink.pings_ = {}; // the former start does not answer them
  aLink.inFlight_ = 0;
  nextCheck_ = {};
  if (callbacks_.onPeerRestarted_) {
    callbacks_.onPeerRestarted_(aLink.endpoint_.host_, aBoot);
  }
}

void
LinkThread::ProcessPings(Link& aLink, const wire::PeerMessage& aMessage)
{
  const Instant now = SteadyNow();
  if (aMessage.has_pong()) {
    ProcessPong(aLink, aMessage.pong());
    return;
  }
  if (aMessage.has_riding_pong()) {
    ProcessPong(aLink, aMessage.riding_pong());
  }
  if (!aMessage.has_ping()) {
    aLink.lastUsed_ = now;
    UpdateInFlight(aLink, GetInFlightChange(aMessage));
  }
  if (!aMessage.has_ping() && !aMessage.has_riding_ping()) {
    return;
  }
  const wire::PeerPing& ping =
    aMessage.has_ping() ? aMessage.ping() : aMessage.riding_ping();
  aLink.lastPinged_ = now;
  if (!aLink.dealer_) {
    Open(aLink, now);
  }
  aLink.pings_.pendingPong_ =
    PendingPong{ ping.sent_at_us(), now, !aMessage.has_ping() };
  if (aMessage.has_ping()) {
    Pong(aLink, now);
  }
  nextCheck_ = std::min(nextCheck_, GetPongTime(aLink.pings_));
}

void
LinkThread::ProcessPong(Link& aLink, const wire::PeerPing& aPong)
{
  const Instant now = SteadyNow();
  const Instant sentAt{ Duration(aPong.sent_at_us()) };
  // A pong for a ping from before a loss, or from a previous start of this
  // host, does not reflect the current state of the link. Its age does not
  // count: a pong lies unread while this host is held up.
  if (sentAt > now || sentAt < aLink.openedAt_) {
    return;
  }
  const Duration held(aPong.held_us());
  aLink.counters_.roundTripUs_ =
    std::max(now - sentAt - held, Duration::zero()).count();
  RecordPong(aLink.pings_, sentAt);
  if (aLink.reachable_.exchange(true)) {
    return;
  }
  aLink.lost_ = false;
  if (callbacks_.onPeerReachable_) {
    callbacks_.onPeerReachable_(aLink.endpoint_.host_);
  }
}

} // namespace wigeonlb::peer
