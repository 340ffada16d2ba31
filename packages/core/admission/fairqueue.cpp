#include "core/admission/fairqueue.h"

#include <algorithm>

namespace wigeonlb::core::admission {

namespace {

// If there are more tenants, those without items are removed.
constexpr std::size_t kMaxTenants = 1024;

void
DropIdleTenants(FairQueue& aQueue)
{
  if (aQueue.tenants_.size() <= kMaxTenants) {
    return;
  }
  std::erase_if(aQueue.tenants_, [](const auto& aEntry) {
    return aEntry.second.items_.empty();
  });
}

} // namespace

void
Push(FairQueue& aQueue, QueueItem& aItem)
{
  DropIdleTenants(aQueue);
  TenantQueue& tenant = aQueue.tenants_[aItem.tenant_];
  if (tenant.items_.empty()) {
    tenant.tenant_ = aItem.tenant_;
    if (!aQueue.active_.empty()) {
      tenant.served_ =
        std::max(tenant.served_, aQueue.active_.begin()->served_);
    }
    aQueue.active_.insert(tenant);
  }
  tenant.items_.insert(aItem);
  ++aQueue.size_;
}

void
Remove(FairQueue& aQueue, QueueItem& aItem)
{
  TenantQueue& tenant = aQueue.tenants_.at(aItem.tenant_);
  tenant.items_.erase(tenant.items_.iterator_to(aItem));
  --aQueue.size_;
  if (tenant.items_.empty()) {
    aQueue.active_.erase(aQueue.active_.iterator_to(tenant));
  }
}

void
Serve(FairQueue& aQueue, QueueItem& aItem, foundation::Duration aCost)
{
  TenantQueue& tenant = aQueue.tenants_.at(aItem.tenant_);
  Remove(aQueue, aItem);
  const bool active = tenant.activeHook_.is_linked();
  if (active) {
    aQueue.active_.erase(aQueue.active_.iterator_to(tenant));
  }
  tenant.served_ += static_cast<double>(aCost.count());
  if (active) {
    aQueue.active_.insert(tenant);
  }
}

std::size_t
CountAhead(const FairQueue& aQueue, const foundation::Tenant& aTenant)
{
  const auto own = aQueue.tenants_.find(aTenant);
  const std::size_t ownItems =
    own == aQueue.tenants_.end() ? 0 : own->second.items_.size();
  std::size_t ahead = 0;
  for (const TenantQueue& tenant : aQueue.active_) {
    ahead += std::min(tenant.items_.size(), ownItems + 1);
  }
  return std::min(ahead, aQueue.size_);
}

} // namespace wigeonlb::core::admission
