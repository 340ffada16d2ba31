#include "core/pool/targetpool.h"

#include <algorithm>

namespace wigeonlb::core::pool {

namespace {

std::uint32_t*
FindCounter(TargetPool& aPool, ConnectionState aState)
{
  switch (aState) {
    case ConnectionState::Opening:
      return &aPool.opening_;
    case ConnectionState::Busy:
      return &aPool.busy_;
    case ConnectionState::Pinned:
      return &aPool.pinned_;
    case ConnectionState::Idle:
      break;
  }
  return nullptr;
}

auto&
GetList(TargetPool& aPool, ConnectionState aState)
{
  return aState == ConnectionState::Idle ? aPool.idle_ : aPool.others_;
}

// A connection that has just been opened counts as used once in this time.
constexpr std::chrono::duration<double> kNewConnectionSeconds{ 1 };

double
GetUsesPerSecond(const PooledConnection& aConnection, foundation::Instant aNow)
{
  const std::chrono::duration<double> age = aNow - aConnection.openedAt_;
  return static_cast<double>(aConnection.uses_ + 1) /
         (age + kNewConnectionSeconds).count();
}

void
Link(TargetPool& aPool, PooledConnection& aConnection)
{
  GetList(aPool, aConnection.state_).push_front(aConnection);
  if (auto* counter = FindCounter(aPool, aConnection.state_)) {
    ++*counter;
  }
}

} // namespace

std::size_t
CountConnections(const TargetPool& aPool)
{
  return aPool.idle_.size() + aPool.others_.size();
}

void
AddOpening(TargetPool& aPool,
           PooledConnection& aConnection,
           foundation::Instant aNow)
{
  aConnection.state_ = ConnectionState::Opening;
  aConnection.openedAt_ = aNow;
  aConnection.since_ = aNow;
  aConnection.lastReceivedAt_ = aNow;
  Link(aPool, aConnection);
}

void
RemoveConnection(TargetPool& aPool, PooledConnection& aConnection)
{
  auto& list = GetList(aPool, aConnection.state_);
  list.erase(list.iterator_to(aConnection));
  if (auto* counter = FindCounter(aPool, aConnection.state_)) {
    --*counter;
  }
}

void
ChangeState(TargetPool& aPool,
            PooledConnection& aConnection,
            ConnectionState aState,
            foundation::Instant aNow)
{
  RemoveConnection(aPool, aConnection);
  aConnection.state_ = aState;
  aConnection.since_ = aNow;
  Link(aPool, aConnection);
}

bool
HasFreeSlot(const TargetPool& aPool)
{
  const std::uint32_t pinned = aPool.pinnedHoldSlots_ ? aPool.pinned_ : 0;
  return aPool.busy_ + pinned < aPool.slots_;
}

std::uint32_t
CountConnectionsToOpen(const TargetPool& aPool, std::uint32_t aWaiting)
{
  const auto openCount = static_cast<std::uint32_t>(CountConnections(aPool));
  // Pinned connections that hold no slot are needed in addition to the slots.
  const std::uint32_t withoutSlot = aPool.pinnedHoldSlots_ ? 0 : aPool.pinned_;
  const std::uint32_t wanted =
    std::min(aPool.share_, aPool.slots_ + withoutSlot + aWaiting);
  return wanted > openCount ? wanted - openCount : 0;
}

PooledConnection*
FindSurplus(TargetPool& aPool)
{
  if (CountConnections(aPool) <= aPool.share_ || aPool.idle_.empty()) {
    return nullptr;
  }
  return &aPool.idle_.back();
}

PooledConnection*
FindIdle(TargetPool& aPool, const foundation::Tenant& aOrganisation)
{
  for (PooledConnection& connection : aPool.idle_) {
    if (connection.organisation_ == aOrganisation) {
      return &connection;
    }
  }
  return nullptr;
}

std::uint32_t
CountSoonIdle(const TargetPool& aPool, const foundation::Tenant& aOrganisation)
{
  return static_cast<std::uint32_t>(std::ranges::count_if(
    aPool.others_, [&](const PooledConnection& aConnection) {
      return aConnection.state_ != ConnectionState::Pinned &&
             aConnection.organisation_ == aOrganisation;
    }));
}

bool
HasSlotToOpen(const TargetPool& aPool)
{
  const std::uint32_t pinned = aPool.pinnedHoldSlots_ ? aPool.pinned_ : 0;
  return aPool.busy_ + pinned + aPool.opening_ < aPool.slots_;
}

bool
IsShareUsed(const TargetPool& aPool)
{
  return CountConnections(aPool) >= aPool.share_;
}

PooledConnection*
FindReplaceable(TargetPool& aPool,
                const std::set<foundation::Tenant>& aNeeded,
                Replace aReplace,
                foundation::Instant aNow)
{
  const auto mayReplace = [&](const PooledConnection& aConnection) {
    return !aNeeded.contains(aConnection.organisation_) ||
           (aReplace == Replace::Used && aConnection.uses_ > 0);
  };
  PooledConnection* least = nullptr;
  double leastRate = 0;
  for (PooledConnection& connection : aPool.idle_) {
    const double rate = GetUsesPerSecond(connection, aNow);
    if (mayReplace(connection) && (least == nullptr || rate <= leastRate)) {
      least = &connection;
      leastRate = rate;
    }
  }
  return least;
}

std::uint32_t
ComputeSlotShare(std::uint32_t aSlots, std::uint32_t aOwners)
{
  const std::uint32_t owners = std::max(aOwners, 1U);
  return std::max((aSlots + owners - 1) / owners, 1U);
}

} // namespace wigeonlb::core::pool
