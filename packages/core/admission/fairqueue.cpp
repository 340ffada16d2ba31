#include "core/admission/fairqueue.h"

#include <algorithm>

namespace wigeonlb::core::admission {

namespace {

// If a band has more tenants, those without items are removed.
constexpr std::size_t kMaxTenants = 1024;

// A band is owed at most the service of this many items, so that one that has
// waited for long doesn't delay the others for long.
constexpr double kMaxOwedItems = 4;

void
DropIdleTenants(Band& aBand)
{
  if (aBand.tenants_.size() <= kMaxTenants) {
    return;
  }
  std::erase_if(aBand.tenants_, [](const auto& aEntry) {
    return aEntry.second.items_.empty();
  });
}

// What the bands behind the served one are owed now.
void
ChargeBands(FairQueue& aQueue, std::uint32_t aPriority, double aCost)
{
  aQueue.lastCost_ = aCost;
  for (auto& [priority, band] : aQueue.bands_) {
    if (priority > aPriority && band.size_ > 0) {
      band.owed_ =
        std::min(band.owed_ + aCost * kReservedShare / (1 - kReservedShare),
                 aCost * kMaxOwedItems);
    }
  }
  Band& served = aQueue.bands_.at(aPriority);
  served.owed_ = std::max(served.owed_ - aCost, 0.0);
}

} // namespace

void
Push(FairQueue& aQueue, QueueItem& aItem)
{
  Band& band = aQueue.bands_[aItem.priority_];
  DropIdleTenants(band);
  TenantQueue& tenant = band.tenants_[aItem.tenant_];
  if (tenant.items_.empty()) {
    tenant.tenant_ = aItem.tenant_;
    if (!band.active_.empty()) {
      tenant.served_ = std::max(tenant.served_, band.active_.begin()->served_);
    }
    band.active_.insert(tenant);
  }
  tenant.items_.insert(aItem);
  ++band.size_;
  ++aQueue.size_;
}

void
Remove(FairQueue& aQueue, QueueItem& aItem)
{
  Band& band = aQueue.bands_.at(aItem.priority_);
  TenantQueue& tenant = band.tenants_.at(aItem.tenant_);
  tenant.items_.erase(tenant.items_.iterator_to(aItem));
  --band.size_;
  --aQueue.size_;
  if (tenant.items_.empty()) {
    band.active_.erase(band.active_.iterator_to(tenant));
  }
  if (band.size_ == 0) {
    band.owed_ = 0;
  }
}

void
Serve(FairQueue& aQueue, QueueItem& aItem, foundation::Duration aCost)
{
  const auto cost = static_cast<double>(aCost.count());
  Band& band = aQueue.bands_.at(aItem.priority_);
  TenantQueue& tenant = band.tenants_.at(aItem.tenant_);
  ChargeBands(aQueue, aItem.priority_, cost);
  Remove(aQueue, aItem);
  const bool active = tenant.activeHook_.is_linked();
  if (active) {
    band.active_.erase(band.active_.iterator_to(tenant));
  }
  tenant.served_ += cost;
  if (active) {
    band.active_.insert(tenant);
  }
}

std::vector<Band*>
ListBands(FairQueue& aQueue)
{
  std::vector<Band*> bands;
  for (auto& [priority, band] : aQueue.bands_) {
    if (band.size_ > 0) {
      bands.push_back(&band);
    }
  }
  // clang 14 can't compile std::ranges::stable_partition of libstdc++ 12.
  std::stable_partition(bands.begin(), bands.end(), [&](const Band* aBand) {
    return aBand->owed_ > 0 && aBand->owed_ >= aQueue.lastCost_;
  });
  return bands;
}

std::size_t
CountAhead(const FairQueue& aQueue, const QueueItem& aItem)
{
  std::size_t ahead = 0;
  for (const auto& [priority, band] : aQueue.bands_) {
    if (priority > aItem.priority_) {
      break;
    }
    if (priority < aItem.priority_) {
      ahead += band.size_;
      continue;
    }
    const auto own = band.tenants_.find(aItem.tenant_);
    const std::size_t ownItems =
      own == band.tenants_.end() ? 0 : own->second.items_.size();
    std::size_t samePriority = 0;
    for (const TenantQueue& tenant : band.active_) {
      samePriority += std::min(tenant.items_.size(), ownItems + 1);
    }
    ahead += std::min(samePriority, band.size_);
  }
  return ahead;
}

} // namespace wigeonlb::core::admission
