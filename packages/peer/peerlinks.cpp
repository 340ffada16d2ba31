#include "peer/peerlinks.h"

#include <mutex>
#include <utility>

#include "peer/internal/linkthread.h"

namespace wigeonlb::peer {

LinkPtr
FindLink(const LinkTable& aTable, std::string_view aHost)
{
  const std::shared_lock lock(aTable.mutex_);
  const auto found = aTable.links_.find(aHost);
  return found == aTable.links_.end() ? LinkPtr() : found->second;
}

class PeerLinks::Impl
{
public:
  Impl(PeerLinksSettings aSettings, PeerLinksCallbacks aCallbacks)
    : settings_(std::move(aSettings))
    , callbacks_(std::move(aCallbacks))
    , thread_(settings_, callbacks_, table_)
  {
    table_.snapshotRate_ = settings_.snapshotRate_;
  }

  void ScheduleLink(const LinkPtr& aLink)
  {
    if (!aLink->queued_.exchange(true)) {
      table_.ready_.push(aLink);
    }
    thread_.Wake();
  }

  PeerLinksSettings settings_;
  PeerLinksCallbacks callbacks_;
  LinkTable table_;
  LinkThread thread_;
  std::atomic<bool> running_{ false };
};

PeerLinks::PeerLinks(PeerLinksSettings aSettings, PeerLinksCallbacks aCallbacks)
  : impl_(std::make_unique<Impl>(std::move(aSettings), std::move(aCallbacks)))
{
}

PeerLinks::~PeerLinks()
{
  Stop();
}

std::error_code
PeerLinks::Start()
{
  if (const std::error_code error = impl_->thread_.Start()) {
    return error;
  }
  impl_->running_ = true;
  return {};
}

void
PeerLinks::Stop(foundation::Duration aSendLimit)
{
  impl_->running_ = false;
  impl_->thread_.Stop(aSendLimit);
}

std::string
PeerLinks::BoundAddress() const
{
  return impl_->thread_.BoundAddress();
}

void
PeerLinks::SetPeers(std::span<const PeerEndpoint> aPeers)
{
  LinkTable& table = impl_->table_;
  {
    const std::unique_lock lock(table.mutex_);
    const auto former = std::exchange(table.links_, {});
    for (const PeerEndpoint& peer : aPeers) {
      if (peer.host_ == impl_->settings_.host_) {
        continue;
      }
      const auto found = former.find(peer.host_);
      const bool kept =
        found != former.end() && found->second->endpoint_ == peer;
      const LinkPtr link =
        kept ? found->second : MakeLink(peer, impl_->settings_);
      table.links_[peer.host_] = link;
      table.unlisted_.erase(peer.host_);
    }
    for (const foundation::HostId& host : table.unlisted_) {
      table.links_[host] = former.at(host);
    }
  }
  ++table.version_;
  if (impl_->running_) {
    impl_->thread_.Wake();
  }
}

std::error_code
PeerLinks::Send(std::string_view aHost, wire::PeerMessage aMessage)
{
  if (!impl_->running_) {
    return PeerError::Stopped;
  }
  const LinkPtr link = FindLink(impl_->table_, aHost);
  if (!link) {
    return PeerError::UnknownPeer;
  }
  aMessage.set_from(impl_->settings_.host_);
  aMessage.set_boot(impl_->settings_.boot_);
  OutgoingMessage message{
    aMessage.SerializeAsString(), GetTrafficClass(aMessage),
    GetSnapshotKind(aMessage),    GetInFlightChange(aMessage),
    IsAnswer(aMessage),           foundation::SteadyNow()
  };
  if (message.payload_.size() > kMaxMessageBytes) {
    return PeerError::MessageTooLarge;
  }
  OutgoingQueue& queue =
    message.class_ == TrafficClass::Control ? link->control_ : link->forward_;
  if (const std::error_code error = Enqueue(queue, std::move(message))) {
    return error;
  }
  impl_->ScheduleLink(link);
  return {};
}

std::error_code
PeerLinks::CheckReachability(std::string_view aHost)
{
  if (!impl_->running_) {
    return PeerError::Stopped;
  }
  const LinkPtr link = FindLink(impl_->table_, aHost);
  if (!link) {
    return PeerError::UnknownPeer;
  }
  link->checkRequested_ = true;
  impl_->ScheduleLink(link);
  return {};
}

void
PeerLinks::SetSnapshotRate(std::uint64_t aBytesPerSecond)
{
  impl_->table_.snapshotRate_ = aBytesPerSecond;
}

std::vector<PeerCounters>
PeerLinks::Counters() const
{
  std::vector<PeerCounters> counters;
  const std::shared_lock lock(impl_->table_.mutex_);
  for (const auto& [host, link] : impl_->table_.links_) {
    counters.push_back(ReadCounters(*link));
  }
  return counters;
}

} // namespace wigeonlb::peer
