#pragma once

#include <cstddef>
#include <map>

#include <boost/intrusive/set.hpp>

#include "foundation/clock.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::admission {

namespace intrusive = boost::intrusive;

//! Base class of a queued item.
//! NOTE The destructor unlinks the item from its queue, but without updating
//! the queue's size; call Remove before.
struct QueueItem
{
  foundation::Tenant tenant_;
  foundation::Instant deadline_;
  intrusive::set_member_hook<> queueHook_;
};

struct ByDeadline
{
  using type = foundation::Instant;
  const type& operator()(const QueueItem& aItem) const
  {
    return aItem.deadline_;
  }
};

using DeadlineOrder =
  intrusive::multiset<QueueItem,
                      intrusive::key_of_value<ByDeadline>,
                      intrusive::member_hook<QueueItem,
                                             intrusive::set_member_hook<>,
                                             &QueueItem::queueHook_>>;

//! One tenant's items, and the service time that it has received.
struct TenantQueue
{
  foundation::Tenant tenant_;
  DeadlineOrder items_;
  //! Service time charged so far, in microseconds. The tenant with the lowest
  //! value is served next.
  double served_ = 0;
  intrusive::set_member_hook<> activeHook_;
};

struct ByService
{
  using type = double;
  const type& operator()(const TenantQueue& aQueue) const
  {
    return aQueue.served_;
  }
};

using ServiceOrder =
  intrusive::multiset<TenantQueue,
                      intrusive::key_of_value<ByService>,
                      intrusive::member_hook<TenantQueue,
                                             intrusive::set_member_hook<>,
                                             &TenantQueue::activeHook_>>;

//! Queue of the items of many tenants. The tenant with the least service time
//! goes first; within a tenant, the item with the earliest deadline.
struct FairQueue
{
  std::map<foundation::Tenant, TenantQueue> tenants_;
  ServiceOrder active_;
  std::size_t size_ = 0;
};

//! Adds an item, which must not be in any queue. The service time of a tenant
//! without queued items is raised to the lowest one of the queued tenants, so
//! that an idle tenant accumulates no advantage.
void
Push(FairQueue& aQueue, QueueItem& aItem);

//! Removes an item without charging its tenant.
void
Remove(FairQueue& aQueue, QueueItem& aItem);

//! Removes an item and charges its tenant the expected service time aCost.
void
Serve(FairQueue& aQueue, QueueItem& aItem, foundation::Duration aCost);

//! Estimates how many items are served before a new item of this tenant.
std::size_t
CountAhead(const FairQueue& aQueue, const foundation::Tenant& aTenant);

//! Returns the first of the next aLimit items that satisfies the predicate, or
//! null. The predicate must not change the queue.
template<class Predicate>
QueueItem*
FindNext(FairQueue& aQueue, std::size_t aLimit, Predicate aMatches)
{
  for (TenantQueue& tenant : aQueue.active_) {
    for (QueueItem& item : tenant.items_) {
      if (aLimit-- == 0) {
        return nullptr;
      }
      if (aMatches(item)) {
        return &item;
      }
    }
  }
  return nullptr;
}

} // namespace wigeonlb::core::admission
