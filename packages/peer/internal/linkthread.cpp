#include "peer/internal/linkthread.h"

#include <algorithm>
#include <cerrno>
#include <mutex>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

#include "foundation/logging.h"

namespace wigeonlb::peer {

using foundation::Duration;
using foundation::Instant;
using foundation::SteadyNow;
using foundation::ToMilliseconds;

namespace {

constexpr int kReceiveQueueMessages = 1000;
constexpr std::chrono::milliseconds kMaxWaitMs{ 1000 };

//! Pause before messages that the byte budget delays are tried again.
constexpr std::chrono::milliseconds kBudgetWaitMs{ 50 };

//! Pause before full sockets are tried again while the links are stopped.
constexpr std::chrono::milliseconds kLastSendPauseMs{ 5 };

//! Allowance for a ping and a pong on a message of kMaxMessageBytes.
constexpr std::int64_t kPiggybackBytes = 64;

//! Maximum number of sockets in the context; each open link needs one.
constexpr int kMaxSockets = 8192;

// TCP keep-alive closes connections whose peer vanished without closing them.
constexpr int kKeepaliveIdleSeconds = 30;
constexpr int kKeepaliveIntervalSeconds = 10;
constexpr int kKeepaliveProbes = 3;

wire::PeerMessage
MakeEnvelope(const PeerLinksSettings& aSettings)
{
  wire::PeerMessage message;
  message.set_from(aSettings.host_);
  message.set_boot(aSettings.boot_);
  return message;
}

} // namespace

LinkThread::LinkThread(const PeerLinksSettings& aSettings,
                       const PeerLinksCallbacks& aCallbacks,
                       LinkTable& aTable)
  : settings_(aSettings)
  , callbacks_(aCallbacks)
  , table_(aTable)
{
}

LinkThread::~LinkThread()
{
  Stop(Duration::zero());
  // Not in Stop, because a concurrent Send may still write to it after Stop.
  if (wakeFd_ >= 0) {
    close(wakeFd_);
  }
}

std::error_code
LinkThread::Start()
{
  std::string address = settings_.listenAddress_;
  if (address.ends_with(":0")) {
    address.replace(address.size() - 1, 1, "*");
  }
  try {
    context_.set(zmq::ctxopt::max_sockets, kMaxSockets);
    router_ = zmq::socket_t(context_, zmq::socket_type::router);
    router_.set(zmq::sockopt::linger, 0);
    router_.set(zmq::sockopt::rcvhwm, kReceiveQueueMessages);
    router_.set(zmq::sockopt::maxmsgsize,
                static_cast<std::int64_t>(kMaxMessageBytes) + kPiggybackBytes);
    router_.set(zmq::sockopt::tcp_keepalive, 1);
    router_.set(zmq::sockopt::tcp_keepalive_idle, kKeepaliveIdleSeconds);
    router_.set(zmq::sockopt::tcp_keepalive_intvl, kKeepaliveIntervalSeconds);
    router_.set(zmq::sockopt::tcp_keepalive_cnt, kKeepaliveProbes);
    router_.bind("tcp://" + address);
    const std::string endpoint = router_.get(zmq::sockopt::last_endpoint);
    boundAddress_ = endpoint.substr(std::string_view("tcp://").size());
  } catch (const zmq::error_t&) {
    router_ = zmq::socket_t();
    return PeerError::BadAddress;
  }
  wakeFd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (wakeFd_ < 0) {
    return { errno, std::system_category() };
  }
  budget_ = foundation::MakeTokenBucket(
    settings_.snapshotRate_, settings_.snapshotBurst_, SteadyNow());
  thread_ = std::thread([this] { Run(); });
  return {};
}

void
LinkThread::Stop(Duration aSendLimit)
{
  if (!thread_.joinable()) {
    return;
  }
  sendLimit_ = aSendLimit;
  stopping_ = true;
  wakePending_ = false;
  Wake();
  thread_.join();
}

void
LinkThread::Wake()
{
  if (wakePending_.exchange(true)) {
    return;
  }
  const std::uint64_t one = 1;
  // If the counter is full the thread is woken up anyway.
  [[maybe_unused]] const auto written = write(wakeFd_, &one, sizeof(one));
}

void
LinkThread::DrainWakeUps()
{
  std::uint64_t count = 0;
  [[maybe_unused]] const auto bytesRead = read(wakeFd_, &count, sizeof(count));
  // Cleared before the queues are read, so that no message is missed.
  wakePending_ = false;
}

void
LinkThread::Run()
{
  while (!stopping_) {
    DrainWakeUps();
    UpdateLinks();
    ReceiveMessages();
    const Instant now = SteadyNow();
    FlushLinks(now);
    CheckLinks(now);
    Wait();
    const Duration pause = GetReceivePause(busyWindow_, SteadyNow());
    if (pause > Duration::zero()) {
      std::this_thread::sleep_for(pause);
    }
  }
  SendQueuedMessages();
  CloseLinks();
}

void
LinkThread::SendQueuedMessages()
{
  const Instant until = SteadyNow() + sendLimit_;
  for (Instant now = SteadyNow(); now < until; now = SteadyNow()) {
    FlushLinks(now);
    if (pendingLinks_.empty()) {
      return;
    }
    std::this_thread::sleep_for(kLastSendPauseMs);
    for (const LinkPtr& link : pendingLinks_) {
      link->blocked_ = false;
    }
  }
}

//! The sockets send what they hold in the background, until the context ends.
void
LinkThread::CloseLinks()
{
  for (const std::vector<LinkPtr>* links : { &links_, &pendingLinks_ }) {
    for (const LinkPtr& link : *links) {
      if (link->dealer_) {
        link->dealer_.set(zmq::sockopt::linger,
                          static_cast<int>(ToMilliseconds(sendLimit_)));
      }
      CloseSocket(*link);
    }
  }
  links_.clear();
  pendingLinks_.clear();
  router_.close();
}

void
LinkThread::UpdateLinks()
{
  budget_.rate_ = table_.snapshotRate_;
  const std::uint64_t version = table_.version_;
  if (version == version_) {
    return;
  }
  version_ = version;
  std::vector<LinkPtr> links;
  {
    const std::shared_lock lock(table_.mutex_);
    for (const auto& [host, link] : table_.links_) {
      links.push_back(link);
    }
  }
  for (const LinkPtr& link : links_) {
    if (std::find(links.begin(), links.end(), link) == links.end()) {
      MarkLost(*link);
      CloseSocket(*link);
      link->dropped_ = true;
    }
  }
  links_ = std::move(links);
  nextCheck_ = {};
}

void
LinkThread::Open(Link& aLink, Instant aNow)
{
  if (OpenSocket(aLink, context_)) {
    foundation::LogWarning("peer",
                           "bad_peer_address",
                           { { "host", aLink.endpoint_.host_ },
                             { "address", aLink.endpoint_.address_ } });
  }
  aLink.openedAt_ = aNow;
  nextCheck_ = aNow;
}

void
LinkThread::CheckLinks(Instant aNow)
{
  if (aNow < nextCheck_) {
    return;
  }
  const auto idle = std::ranges::count_if(links_, [&](const LinkPtr& aLink) {
    return aLink->dealer_ && IsIdle(*aLink, Policy(), aNow);
  });
  idleInterval_ = std::max(settings_.pingInterval_,
                           Duration(std::chrono::seconds(idle)) /
                             std::max(settings_.idlePingsPerSecond_, 1U));
  nextCheck_ = aNow + kMaxWaitMs;
  for (const LinkPtr& link : links_) {
    CheckLink(*link, aNow);
    nextCheck_ = std::min(nextCheck_, GetNextCheckTime(*link, Policy(), aNow));
  }
  RemoveUnusedUnlistedPeers();
}

void
LinkThread::RemoveUnusedUnlistedPeers()
{
  const std::unique_lock lock(table_.mutex_);
  const auto removed = std::erase_if(table_.unlisted_, [&](const auto& aHost) {
    const auto link = table_.links_.find(aHost);
    const bool unused = link == table_.links_.end() || !link->second->dealer_;
    if (unused && link != table_.links_.end()) {
      table_.links_.erase(link);
    }
    return unused;
  });
  table_.version_ += removed > 0 ? 1 : 0;
}

void
LinkThread::CheckLink(Link& aLink, Instant aNow)
{
  if (!aLink.dealer_) {
    if (aLink.endpoint_.keepOpen_) {
      Open(aLink, aNow);
    }
    return;
  }
  if (ShouldClose(aLink, Policy(), aNow)) {
    CloseSocket(aLink);
    return;
  }
  if (HasTimedOut(aLink, Policy(), aNow)) {
    MarkLost(aLink);
    Open(aLink, aNow);
  }
  if (aLink.reachable_ &&
      GetConfirmingPingTime(aLink.pings_, settings_.lostAfter_) <= aNow) {
    aLink.pings_.confirmingSince_ = aNow;
    Ping(aLink, aNow);
  }
  if (aLink.retryAt_ > aNow) {
    return;
  }
  if (GetPongTime(aLink.pings_) <= aNow) {
    Pong(aLink, aNow);
  }
  if (GetPingTime(aLink, Policy(), aNow) <= aNow) {
    Ping(aLink, aNow);
  }
}

void
LinkThread::Ping(Link& aLink, Instant aNow)
{
  wire::PeerMessage message = MakeEnvelope(settings_);
  message.mutable_ping()->set_sent_at_us(Microseconds(aNow));
  if (NeedsIntroduction(aLink, aNow)) {
    message.set_from_address(settings_.announcedAddress_);
  }
  const bool sent =
    SendNow(aLink, message.SerializeAsString(), TrafficClass::Control);
  if (sent || aLink.reachable_) {
    RecordPing(aLink.pings_, aNow); // a full socket counts as unanswered
  }
  if (!sent) {
    aLink.retryAt_ = aNow + GetRetryPause(aLink, Policy());
  }
}

void
LinkThread::Pong(Link& aLink, Instant aNow)
{
  if (!aLink.pings_.pendingPong_) {
    return;
  }
  wire::PeerMessage message = MakeEnvelope(settings_);
  message.mutable_pong()->set_sent_at_us(aLink.pings_.pendingPong_->sentAtUs_);
  if (SendNow(aLink, message.SerializeAsString(), TrafficClass::Control)) {
    aLink.pings_.pendingPong_.reset();
  } else {
    aLink.retryAt_ = aNow + GetRetryPause(aLink, Policy());
  }
}

void
LinkThread::MarkLost(Link& aLink)
{
  DropMessagesOfLoss(aLink, SteadyNow());
  aLink.reachable_ = false;
  if (!aLink.dealer_ || std::exchange(aLink.lost_, true)) {
    return;
  }
  if (callbacks_.onPeerLost_) {
    callbacks_.onPeerLost_(aLink.endpoint_.host_);
  }
}

void
LinkThread::FlushLinks(Instant aNow)
{
  LinkPtr ready;
  bool any = false;
  while (table_.ready_.try_pop(ready)) {
    // Cleared before the queues are read, so that no message is missed.
    ready->queued_ = false;
    any = true;
    if (!std::exchange(ready->flushing_, true)) {
      pendingLinks_.push_back(ready);
    }
  }
  const SendContext context{ aNow,
                             settings_.queueAgeLimit_,
                             settings_.answerAgeLimit_,
                             settings_.pingInterval_ / 2,
                             idleInterval_,
                             &budget_,
                             settings_.announcedAddress_ };
  std::erase_if(pendingLinks_, [&](const LinkPtr& aLink) {
    if (aLink->dropped_) {
      DropPendingMessages(*aLink);
    } else {
      const bool checkRequested = aLink->checkRequested_.exchange(false);
      if (checkRequested) {
        aLink->lastUsed_ = aNow;
      }
      if (!aLink->dealer_) {
        Open(*aLink, aNow);
      } else if (checkRequested && !aLink->pings_.unansweredSince_) {
        Ping(*aLink, aNow);
      }
      FlushLink(*aLink, context);
    }
    aLink->flushing_ = HasPendingMessages(*aLink);
    return !aLink->flushing_;
  });
  if (any) {
    nextCheck_ = std::min<Instant>(nextCheck_, aNow + settings_.pingInterval_);
  }
}

std::chrono::milliseconds
LinkThread::ComputeWaitTime() const
{
  Instant due = nextCheck_;
  const Instant now = SteadyNow();
  for (const LinkPtr& link : pendingLinks_) {
    if (!link->blocked_) {
      due = std::min(due, now + kBudgetWaitMs);
    }
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(due - now);
  return std::clamp(wait, std::chrono::milliseconds(0), kMaxWaitMs);
}

void
LinkThread::Wait()
{
  std::vector<zmq::pollitem_t> items{
    { router_.handle(), 0, ZMQ_POLLIN, 0 },
    { nullptr, wakeFd_, ZMQ_POLLIN, 0 },
  };
  std::vector<Link*> blocked;
  for (const LinkPtr& link : pendingLinks_) {
    if (link->blocked_ && link->dealer_) {
      items.push_back({ link->dealer_.handle(), 0, ZMQ_POLLOUT, 0 });
      blocked.push_back(link.get());
    }
  }
  try {
    zmq::poll(items, ComputeWaitTime());
  } catch (const zmq::error_t& error) {
    if (error.num() != EINTR) {
      throw;
    }
    return;
  }
  for (std::size_t index = 0; index < blocked.size(); ++index) {
    if (items[index + 2].revents & ZMQ_POLLOUT) {
      blocked[index]->blocked_ = false;
    }
  }
}

} // namespace wigeonlb::peer
