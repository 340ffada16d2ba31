// Part of OwnerGroup: entry hosts that were lost, or are silent.
#include "traffic/ownergroup.h"

namespace wigeonlb::daemon::traffic {

namespace {

using foundation::SteadyNow;

//! How long idle transactions of a lost host are kept. As long as those that
//! others wait for, by default.
constexpr foundation::Duration kSilentTransactionLimitMs =
  std::chrono::milliseconds(2000);

constexpr foundation::Duration kSilentCheckIntervalMs =
  std::chrono::milliseconds(200);

} // namespace

void
OwnerGroup::OnHostLost(const foundation::HostId& aHost, std::uint64_t aKeepBoot)
{
  if (aKeepBoot == 0) {
    silent_.try_emplace(aHost, SteadyNow() + kSilentTransactionLimitMs);
    SetSilentTimer();
    return;
  }
  for (const SessionKey& key : sessions_.FindKeys(aHost, aKeepBoot)) {
    if (OwnedSession* const session = sessions_.Find(key)) {
      CloseSession(*session, 0);
    }
  }
}

void
OwnerGroup::OnHostReachable(const foundation::HostId& aHost)
{
  silent_.erase(aHost);
}

void
OwnerGroup::SetSilentTimer()
{
  if (silent_.empty() || std::exchange(silentTimerSet_, true)) {
    return;
  }
  silentTimer_.expires_after(kSilentCheckIntervalMs);
  silentTimer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                            const boost::system::error_code& aError) {
    if (aError || alive.expired()) {
      return;
    }
    silentTimerSet_ = false;
    EndTransactionsOfSilentHosts();
    SetSilentTimer();
  });
}

void
OwnerGroup::EndTransactionsOfSilentHosts()
{
  const foundation::Instant now = SteadyNow();
  std::erase_if(silent_, [&](const auto& aEntry) {
    return aEntry.second <= now && !EndTransactionsOf(aEntry.first);
  });
}

bool
OwnerGroup::EndTransactionsOf(const foundation::HostId& aHost)
{
  bool running = false;
  for (const SessionKey& key : sessions_.FindUsedKeys(aHost)) {
    OwnedSession* const session = sessions_.Find(key);
    if (session == nullptr) {
      continue; // closed by a step for another session
    }
    if (session->running_) {
      running = true; // ends at its deadline, and may leave a transaction
    } else {
      CloseSession(*session, 0);
    }
  }
  return running;
}

} // namespace wigeonlb::daemon::traffic
