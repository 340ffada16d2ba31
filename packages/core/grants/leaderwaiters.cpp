#include "core/grants/leaderwaiters.h"

#include <utility>

namespace wigeonlb::core::grants {

void
AddWaiter(LeaderWaiters& aWaiters,
          const wire::Heartbeat& aHeartbeat,
          foundation::Instant aNow)
{
  const auto& host = aHeartbeat.sender().host();
  aWaiters.byHost_[host] = { host,
                             aHeartbeat.sender().boot(),
                             aHeartbeat.sequence(),
                             aHeartbeat.sent_at_us(),
                             aNow };
}

std::vector<LeaderWaiter>
RemoveWaiters(LeaderWaiters& aWaiters, foundation::Instant aNow)
{
  std::vector<LeaderWaiter> waiting;
  for (auto& [host, waiter] : std::exchange(aWaiters.byHost_, {})) {
    if (aNow - waiter.receivedAt_ <= kLeaderWaitMs) {
      waiting.push_back(std::move(waiter));
    }
  }
  return waiting;
}

} // namespace wigeonlb::core::grants
