#include "peer/internal/link.h"

#include <utility>

namespace wigeonlb::peer {

namespace {

//! A connection whose bytes are not acknowledged for this long is closed. Same
//! as the time after which a peer is lost.
constexpr int kUnacknowledgedTimeoutMs = kLostAfterMs.count();

constexpr int kSocketQueueMessages = 256;

//! Less than a restart of the peer takes.
constexpr std::chrono::milliseconds kIntroduceAfterMs{ 100 };

//! A connection attempt is repeated after this time. Without it the kernel
//! repeats the first packet only after a second, e.g. to a host without power.
constexpr int kConnectTimeoutMs = 300;

//! Range of the pause between two connection attempts. Short, so that a peer
//! that starts is found soon.
constexpr int kReconnectMinMs = 50;
constexpr int kReconnectMaxMs = 250;
constexpr std::size_t kMaxDelayedChunks = 16;
constexpr std::size_t kMessagesPerFlush = 1000;

std::optional<OutgoingMessage>
Dequeue(OutgoingQueue& aQueue)
{
  if (aQueue.unsent_) {
    return std::exchange(aQueue.unsent_, std::nullopt);
  }
  OutgoingMessage message;
  if (!aQueue.messages_.try_pop(message)) {
    return std::nullopt;
  }
  aQueue.bytes_ -= message.payload_.size();
  return message;
}

void
Delay(Link& aLink, OutgoingMessage&& aMessage)
{
  ++aLink.counters_.snapshotsDelayed_;
  if (aMessage.snapshot_ == SnapshotKind::WholeReply) {
    std::erase_if(aLink.delayed_, [](const OutgoingMessage& aOther) {
      return aOther.snapshot_ == SnapshotKind::WholeReply;
    });
  }
  if (aLink.delayed_.size() >= kMaxDelayedChunks) {
    ++aLink.counters_.dropped_;
    return;
  }
  aLink.delayed_.push_back(std::move(aMessage));
}

void
SendDelayed(Link& aLink, const SendContext& aContext)
{
  while (!aLink.delayed_.empty() && !aLink.blocked_) {
    const OutgoingMessage& message = aLink.delayed_.front();
    if (!TryCharge(*aContext.budget_, message.payload_.size(), aContext.now_)) {
      return;
    }
    if (!SendNow(aLink, message.payload_, message.class_)) {
      return;
    }
    aLink.delayed_.pop_front();
  }
}

//! Returns true if the byte budget delays the message; else charges the budget
//! if the message is a snapshot.
bool
OverBudget(Link& aLink,
           const OutgoingMessage& aMessage,
           const SendContext& aContext)
{
  if (aMessage.snapshot_ == SnapshotKind::None) {
    return false;
  }
  return !aLink.delayed_.empty() ||
         !TryCharge(*aContext.budget_, aMessage.payload_.size(), aContext.now_);
}

//! Serialized fields that tell the peer where this host listens, if it may not
//! know it.
std::string
BuildIntroduction(const Link& aLink, const SendContext& aContext)
{
  wire::PeerMessage fields;
  if (NeedsIntroduction(aLink, aContext.now_)) {
    fields.set_from_address(std::string(aContext.announcedAddress_));
  }
  return fields.SerializeAsString();
}

//! Sends a message with a pending pong and, if one is due, a ping.
bool
SendWithPings(Link& aLink,
              const OutgoingMessage& aMessage,
              const SendContext& aContext)
{
  const bool awaited = aMessage.class_ == TrafficClass::Control ||
                       aMessage.requests_ > 0 ||
                       (aLink.inFlight_ > 0 && aMessage.requests_ == 0);
  PingState after = aLink.pings_;
  const std::string piggybackFields =
    BuildPiggybackFields(after,
                         awaited ? aContext.minPingAge_
                                 : aContext.idleMinPingAge_,
                         aContext.now_) +
    BuildIntroduction(aLink, aContext);
  const bool sent =
    piggybackFields.empty()
      ? SendNow(aLink, aMessage.payload_, aMessage.class_)
      : SendNow(aLink, aMessage.payload_ + piggybackFields, aMessage.class_);
  if (sent) {
    aLink.pings_ = after;
    UpdateInFlight(aLink, aMessage.requests_);
  }
  return sent;
}

//! Whether a message is too late to be sent.
bool
IsLate(const Link& aLink,
       const OutgoingMessage& aMessage,
       const SendContext& aContext)
{
  if (aMessage.answer_) {
    return aContext.now_ - aMessage.queuedAt_ > aContext.answerAgeLimit_;
  }
  return aMessage.queuedAt_ <= aLink.lostAt_ ||
         aContext.now_ - aMessage.queuedAt_ > aContext.ageLimit_;
}

void
FlushQueue(Link& aLink, OutgoingQueue& aQueue, const SendContext& aContext)
{
  for (std::size_t sent = 0; sent < kMessagesPerFlush; ++sent) {
    std::optional<OutgoingMessage> message = Dequeue(aQueue);
    if (!message) {
      return;
    }
    if (aContext.now_ - message->queuedAt_ <= aContext.ageLimit_) {
      aLink.lastUsed_ = aContext.now_; // an old answer keeps no link open
    }
    if (IsLate(aLink, *message, aContext)) {
      ++aLink.counters_.dropped_;
      continue;
    }
    if (aLink.blocked_) {
      aQueue.unsent_ = std::move(message);
      return;
    }
    if (OverBudget(aLink, *message, aContext)) {
      Delay(aLink, std::move(*message));
      continue;
    }
    if (!SendWithPings(aLink, *message, aContext)) {
      aQueue.unsent_ = std::move(message);
    }
  }
}

void
DropPendingMessages(Link& aLink, OutgoingQueue& aQueue)
{
  while (Dequeue(aQueue)) {
    ++aLink.counters_.dropped_;
  }
}

void
InitializeQueue(OutgoingQueue& aQueue, const PeerLinksSettings& aSettings)
{
  aQueue.messages_.set_capacity(
    static_cast<std::ptrdiff_t>(aSettings.queueLimit_));
  aQueue.bytesLimit_ = aSettings.queueBytesLimit_;
}

} // namespace

LinkPtr
MakeLink(const PeerEndpoint& aEndpoint, const PeerLinksSettings& aSettings)
{
  LinkPtr link(new Link);
  link->endpoint_ = aEndpoint;
  InitializeQueue(link->control_, aSettings);
  InitializeQueue(link->forward_, aSettings);
  return link;
}

std::error_code
OpenSocket(Link& aLink, zmq::context_t& aContext)
{
  CloseSocket(aLink);
  try {
    zmq::socket_t dealer(aContext, zmq::socket_type::dealer);
    dealer.set(zmq::sockopt::linger, 0);
    dealer.set(zmq::sockopt::sndhwm, kSocketQueueMessages);
    dealer.set(zmq::sockopt::rcvhwm, 1);
    // Bytes that an interrupted connection holds back are dropped with it: a
    // statement must not arrive after its sender has timed out.
    dealer.set(zmq::sockopt::tcp_maxrt, kUnacknowledgedTimeoutMs);
    // Messages wait in OutgoingQueue, where their age is checked, not in a
    // socket that is not connected.
    dealer.set(zmq::sockopt::immediate, true);
    dealer.set(zmq::sockopt::handshake_ivl, kConnectTimeoutMs);
    dealer.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
    // The library adds jitter to each reconnect interval.
    dealer.set(zmq::sockopt::reconnect_ivl, kReconnectMinMs);
    dealer.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
    dealer.connect("tcp://" + aLink.endpoint_.address_);
    aLink.dealer_ = std::move(dealer);
  } catch (const zmq::error_t&) {
    aLink.dealer_ = zmq::socket_t();
    return PeerError::BadAddress;
  }
  return {};
}

void
CloseSocket(Link& aLink)
{
  aLink.dealer_.close();
  aLink.reachable_ = false;
  aLink.blocked_ = false;
  aLink.retryAt_ = {};
  aLink.pings_ = {};
  aLink.inFlight_ = 0;
}

void
UpdateInFlight(Link& aLink, int aChange)
{
  if (aChange > 0) {
    ++aLink.inFlight_;
  } else if (aChange < 0 && aLink.inFlight_ > 0) {
    --aLink.inFlight_;
  }
}

bool
NeedsIntroduction(const Link& aLink, foundation::Instant aNow)
{
  return !aLink.reachable_ || aNow - aLink.lastHeard_ > kIntroduceAfterMs;
}

bool
HasPendingMessages(const Link& aLink)
{
  const auto hasMessages = [](const OutgoingQueue& aQueue) {
    return aQueue.unsent_.has_value() || !aQueue.messages_.empty();
  };
  return hasMessages(aLink.control_) || hasMessages(aLink.forward_) ||
         !aLink.delayed_.empty();
}

std::error_code
Enqueue(OutgoingQueue& aQueue, OutgoingMessage&& aMessage)
{
  const std::size_t bytes = aMessage.payload_.size();
  if (aQueue.bytes_.fetch_add(bytes) + bytes > aQueue.bytesLimit_ ||
      !aQueue.messages_.try_push(std::move(aMessage))) {
    aQueue.bytes_ -= bytes;
    return PeerError::QueueFull;
  }
  return {};
}

bool
SendNow(Link& aLink, std::string_view aPayload, TrafficClass aClass)
{
  if (!aLink.dealer_) {
    ++aLink.counters_.dropped_;
    return true;
  }
  const auto sent =
    aLink.dealer_.send(zmq::buffer(aPayload), zmq::send_flags::dontwait);
  if (!sent) {
    aLink.blocked_ = true;
    return false;
  }
  auto& total = aClass == TrafficClass::Control ? aLink.counters_.controlSent_
                                                : aLink.counters_.forwardSent_;
  total += aPayload.size();
  return true;
}

void
FlushLink(Link& aLink, const SendContext& aContext)
{
  FlushQueue(aLink, aLink.control_, aContext);
  SendDelayed(aLink, aContext);
  FlushQueue(aLink, aLink.forward_, aContext);
}

void
DropPendingMessages(Link& aLink)
{
  DropPendingMessages(aLink, aLink.forward_);
  DropMessagesOfLoss(aLink, foundation::SteadyNow());
}

void
DropMessagesOfLoss(Link& aLink, foundation::Instant aNow)
{
  DropPendingMessages(aLink, aLink.control_);
  aLink.counters_.dropped_ += aLink.delayed_.size();
  aLink.delayed_.clear();
  aLink.lostAt_ = aNow; // FlushQueue drops the rest, in order
}

PeerCounters
ReadCounters(const Link& aLink)
{
  const LinkCounters& counters = aLink.counters_;
  return {
    .host_ = aLink.endpoint_.host_,
    .reachable_ = aLink.reachable_,
    .controlBytesSent_ = counters.controlSent_,
    .controlBytesReceived_ = counters.controlReceived_,
    .forwardBytesSent_ = counters.forwardSent_,
    .forwardBytesReceived_ = counters.forwardReceived_,
    .messagesDropped_ = counters.dropped_,
    .snapshotsDelayed_ = counters.snapshotsDelayed_,
    .roundTrip_ = foundation::Duration(counters.roundTripUs_),
  };
}

} // namespace wigeonlb::peer
