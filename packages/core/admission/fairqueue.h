#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <vector>

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
  //! End of the caller's latency objective, if it has one.
  foundation::Instant objectiveAt_ = foundation::Instant::max();
  std::uint32_t priority_ = 0; //!< 0 is the highest
  intrusive::set_member_hook<> queueHook_;
};

struct ByObjective
{
  using type = foundation::Instant;
  const type& operator()(const QueueItem& aItem) const
  {
    return std::min(aItem.objectiveAt_, aItem.deadline_);
  }
};

using ObjectiveOrder =
  intrusive::multiset<QueueItem,
                      intrusive::key_of_value<ByObjective>,
                      intrusive::member_hook<QueueItem,
                                             intrusive::set_member_hook<>,
                                             &QueueItem::queueHook_>>;

//! One tenant's items, and the service time that it has received.
struct TenantQueue
{
  foundation::Tenant tenant_;
  ObjectiveOrder items_;
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

//! Items of one priority. The tenant with the least service time goes first;
//! within a tenant, the item with the earliest objective or deadline.
struct Band
{
  std::map<foundation::Tenant, TenantQueue> tenants_;
  ServiceOrder active_;
  std::size_t size_ = 0;
  //! Service time due to the band while bands before it are served, in
  //! microseconds.
  double owed_ = 0;
};

//! Queue of the items of many tenants with priorities, for more load than there
//! is room for. Higher priorities are served first; each lower one gets at
//! least kReservedShare of the service time, so that none starves.
struct FairQueue
{
  std::map<std::uint32_t, Band> bands_; //!< by priority, 0 is the highest
  std::size_t size_ = 0;
  double lastCost_ = 0; //!< of the item served last, in microseconds
};

//! Part of the service time that a band receives while others are before it.
constexpr double kReservedShare = 0.1;

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

//! The bands in the order in which they are served now.
std::vector<Band*>
ListBands(FairQueue& aQueue);

//! Estimates how many items are served before a new item.
std::size_t
CountAhead(const FairQueue& aQueue, const QueueItem& aItem);

//! Returns the first of the next aLimit items that satisfies the predicate, or
//! null; of each tenant, only the first aTenantLimit items are examined. The
//! predicate must not change the queue.
template<class Predicate>
QueueItem*
FindNext(FairQueue& aQueue,
         std::size_t aLimit,
         Predicate aMatches,
         std::size_t aTenantLimit = std::numeric_limits<std::size_t>::max())
{
  for (Band* const band : ListBands(aQueue)) {
    for (TenantQueue& tenant : band->active_) {
      std::size_t left = aTenantLimit;
      for (QueueItem& item : tenant.items_) {
        if (left-- == 0) {
          break;
        }
        if (aLimit-- == 0) {
          return nullptr;
        }
        if (aMatches(item)) {
          return &item;
        }
      }
    }
  }
  return nullptr;
}

} // namespace wigeonlb::core::admission
