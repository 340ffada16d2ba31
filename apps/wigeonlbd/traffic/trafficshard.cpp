#include "traffic/trafficshard.h"

#include <algorithm>
#include <random>
#include <utility>

namespace wigeonlb::daemon::traffic {

namespace {

constexpr std::size_t kCachedStatementBytes = std::size_t{ 16 } << 20U;
constexpr foundation::Duration kSweepIntervalMs =
  std::chrono::milliseconds(200);

//! Time without a request after which the entry hosts are assumed to use other
//! owners than this host.
constexpr foundation::Duration kQuietPeriodMs = std::chrono::milliseconds(200);

//! Maximum time for running requests of an owner group that is being closed.
constexpr foundation::Duration kRetireTimeoutMs =
  std::chrono::milliseconds(30000);

//! The secret must be unpredictable, so that a caller can't cancel the
//! statements of another one.
std::uint32_t
MakeSecret()
{
  static thread_local std::random_device kDevice;
  return kDevice();
}

} // namespace

TrafficShard::TrafficShard(boost::asio::io_context& aContext,
                           std::uint64_t aIndex,
                           ShardSettings aSettings,
                           OwnerGroupListener& aListener)
  : io_(aContext)
  , index_(aIndex)
  , settings_(std::move(aSettings))
  , listener_(aListener)
  , cache_(settings_.cachedStatements_,
           kCachedStatementBytes,
           settings_.classify_)
  , closes_(aContext, *settings_.entry_.port_)
  , entry_(settings_.entry_)
  , quota_(aContext,
           entry_.boot_,
           static_cast<std::uint32_t>(aIndex),
           entry_.metrics_,
           MakeQuotaCallbacks())
  , sweepTimer_(aContext)
{
  entry_.cache_ = &cache_;
  entry_.closes_ = &closes_;
  entry_.protocol_ = settings_.protocols_.callers_;
}

TrafficShard::~TrafficShard() = default;

void
TrafficShard::OnStartup(caller::CallerSession& aSession,
                        const caller::StartupRequest& aRequest)
{
  const std::uint64_t number = (nextNumber_++ << kShardBits) | index_;
  auto entry = std::make_unique<EntrySession>(entry_, aSession, number);
  EntrySession& session = *entry;
  entries_.emplace(number, std::move(entry));
  numbers_.emplace(aSession.Number(), number);
  session.Start(aRequest, { static_cast<std::uint32_t>(number), MakeSecret() });
}

void
TrafficShard::OnQuery(caller::CallerSession& aSession, std::string_view aSql)
{
  const auto number = numbers_.find(aSession.Number());
  if (number != numbers_.end()) {
    FindEntry(number->second)->OnQuery(aSql);
  }
}

void
TrafficShard::OnCancel(const caller::CancelKey& aKey)
{
  routeCancel_(aKey);
}

void
TrafficShard::CancelLocal(const caller::CancelKey& aKey)
{
  for (const auto& [number, entry] : entries_) {
    if (entry->Key() == aKey) {
      entry->OnCancel();
      return;
    }
  }
}

void
TrafficShard::OnDrained(caller::CallerSession& aSession)
{
  const auto number = numbers_.find(aSession.Number());
  if (number != numbers_.end()) {
    FindEntry(number->second)->OnDrained();
  }
}

void
TrafficShard::OnClosed(caller::CallerSession& aSession)
{
  const auto number = numbers_.find(aSession.Number());
  if (number == numbers_.end()) {
    return;
  }
  FindEntry(number->second)->OnClosed();
  entries_.erase(number->second);
  numbers_.erase(number);
}

EntrySession*
TrafficShard::FindEntry(std::uint64_t aNumber)
{
  const auto found = entries_.find(aNumber);
  return found == entries_.end() ? nullptr : found->second.get();
}

void
TrafficShard::OnPeerMessage(wire::PeerMessage aMessage)
{
  if (aMessage.has_forward_frames()) {
    OnFrames(std::move(*aMessage.mutable_forward_frames()));
  } else if (aMessage.has_forward_end()) {
    OnEnd(std::move(*aMessage.mutable_forward_end()), aMessage.boot());
  } else if (aMessage.has_forward_checked()) {
    OnChecked(aMessage.forward_checked());
  } else if (aMessage.has_forward_closed()) {
    OnClosed(aMessage.from(), aMessage.forward_closed());
  } else if (aMessage.has_quota_reply()) {
    quota_.OnReply(aMessage.quota_reply());
  } else {
    OnOwnerMessage(aMessage);
  }
}

//! Whether a message is for this start of the host. Session numbers begin anew
//! with each. Older owners do not tell it.
bool
TrafficShard::IsForThisBoot(std::uint64_t aBoot) const
{
  return aBoot == 0 || aBoot == entry_.boot_;
}

void
TrafficShard::OnFrames(wire::ForwardFrames aFrames)
{
  EntrySession* const entry = FindEntry(aFrames.session());
  if (entry != nullptr && IsForThisBoot(aFrames.boot())) {
    entry->OnFrames(std::move(aFrames));
  }
}

void
TrafficShard::OnEnd(wire::ForwardEnd aEnd, std::uint64_t aOwnerBoot)
{
  EntrySession* const entry = FindEntry(aEnd.session());
  if (entry != nullptr && IsForThisBoot(aEnd.boot())) {
    entry->OnEnd(std::move(aEnd), aOwnerBoot);
  }
}

void
TrafficShard::OnChecked(const wire::ForwardChecked& aChecked)
{
  EntrySession* const entry = FindEntry(aChecked.session());
  if (entry != nullptr && IsForThisBoot(aChecked.boot())) {
    entry->OnChecked(aChecked);
  }
}

void
TrafficShard::OnClosed(const foundation::HostId& aFrom,
                       const wire::ForwardClosed& aClosed)
{
  if (IsForThisBoot(aClosed.boot())) {
    closes_.OnClosed(aFrom, aClosed);
  }
}

void
TrafficShard::OnHostLost(const foundation::HostId& aHost)
{
  for (const auto& [name, owner] : owners_) {
    owner->OnHostLost(aHost, 0);
  }
  WithEachEntry([&](EntrySession& aEntry) { aEntry.OnHostLost(aHost); });
}

void
TrafficShard::OnHostRestarted(const foundation::HostId& aHost,
                              std::uint64_t aBoot)
{
  for (const auto& [name, owner] : owners_) {
    owner->OnHostLost(aHost, aBoot);
  }
  WithEachEntry(
    [&](EntrySession& aEntry) { aEntry.OnHostRestarted(aHost, aBoot); });
}

void
TrafficShard::AbandonRequests()
{
  WithEachEntry([](EntrySession& aEntry) { aEntry.OnHostStops(); });
}

void
TrafficShard::WithEachEntry(const std::function<void(EntrySession&)>& aFunction)
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, entry] : entries_) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    EntrySession* const entry = FindEntry(number);
    if (entry != nullptr) {
      aFunction(*entry);
    }
  }
}

void
TrafficShard::OnHostReachable(const foundation::HostId& aHost)
{
  for (const auto& [name, owner] : owners_) {
    owner->OnHostReachable(aHost);
  }
}

void
TrafficShard::SetRoutes(RoutingTablePointer aRoutes)
{
  entry_.routes_ = std::move(aRoutes);
}

bool
TrafficShard::IsRefusedWhileRetiring(const OwnerGroup& aOwner,
                                     const foundation::GroupName& aGroup,
                                     const wire::PeerMessage& aMessage) const
{
  const bool retires = refusesRequests_ || retiring_.count(aGroup) != 0;
  return aMessage.has_forward_request() && retires &&
         !aOwner.ContinuesTransaction({ aMessage.from(),
                                        aMessage.boot(),
                                        aMessage.forward_request().session() },
                                      aMessage.forward_request());
}

bool
TrafficShard::IsReleased(foundation::Instant aNow) const
{
  const bool runs = std::ranges::any_of(owners_, [](const auto& aOwner) {
    return aOwner.second->RunningCount() != 0;
  });
  return refusesRequests_ && !runs && aNow - lastRequestAt_ >= kQuietPeriodMs;
}

OwnerGroup&
TrafficShard::GetOrCreateOwner(const foundation::GroupName& aGroup)
{
  retiring_.erase(aGroup);
  std::unique_ptr<OwnerGroup>& owner = owners_[aGroup];
  if (owner == nullptr) {
    OwnerGroupSettings settings;
    settings.group_ = aGroup;
    settings.login_ = settings_.login_;
    settings.protocols_ = settings_.protocols_;
    settings.traffic_.idleCheckInterval_ =
      settings_.protocols_.targets_->idleCheckInterval_;
    settings.traffic_.seed_ =
      settings_.seed_ + std::hash<std::string>()(aGroup);
    settings.trace_ = settings_.trace_;
    settings.log_ = entry_.log_;
    owner = std::make_unique<OwnerGroup>(
      io_, std::move(settings), *entry_.port_, listener_);
  }
  return *owner;
}

void
TrafficShard::RetireOwner(const foundation::GroupName& aGroup)
{
  if (owners_.count(aGroup) == 0) {
    return;
  }
  retiring_.try_emplace(aGroup, foundation::SteadyNow() + kRetireTimeoutMs);
  SweepRetiring();
}

std::vector<foundation::GroupName>
TrafficShard::ExtractClosedGroups()
{
  return std::exchange(closed_, {});
}

void
TrafficShard::SweepRetiring()
{
  const foundation::Instant now = foundation::SteadyNow();
  for (auto item = retiring_.begin(); item != retiring_.end();) {
    const auto owner = owners_.find(item->first);
    if (owner == owners_.end() || owner->second->RunningCount() == 0 ||
        now >= item->second) {
      if (owner != owners_.end()) {
        closed_.push_back(owner->first);
        owners_.erase(owner);
      }
      item = retiring_.erase(item);
    } else {
      ++item;
    }
  }
  if (retiring_.empty()) {
    return;
  }
  sweepTimer_.expires_after(kSweepIntervalMs);
  sweepTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      SweepRetiring();
    }
  });
}

std::vector<SessionRow>
TrafficShard::Sessions() const
{
  std::vector<SessionRow> rows;
  rows.reserve(entries_.size());
  for (const auto& [number, entry] : entries_) {
    rows.push_back(
      { number,
        entry->Group(),
        entry->TenantName(),
        entry->Address(),
        entry->Waiting(),
        entry->InTransaction(),
        core::session::GetFloor(entry->Floors(), entry->Group()) });
  }
  return rows;
}

} // namespace wigeonlb::daemon::traffic
