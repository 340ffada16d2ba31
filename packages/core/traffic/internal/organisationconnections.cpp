#include "core/traffic/internal/organisationconnections.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "core/traffic/internal/connections.h"
#include "core/traffic/internal/grants.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

// Maximum number of queued requests of each queue that are examined in one
// step.
constexpr std::size_t kOpenScanLimit = 32;

// A request that has waited for this long without any connection of its
// organisation takes the next free slot to open one, and may replace a
// connection that others wait for. Shorter, and organisations with queued
// requests would replace each other's connections for each statement.
constexpr Duration kMaxWaitForConnection = 50ms;

using Organisations = std::set<foundation::Tenant>;
using Targets = std::vector<Target*>;

std::vector<const Request*>
GetFirstQueued(admission::FairQueue& aQueue)
{
  std::vector<const Request*> requests;
  const auto collect = [&](const admission::QueueItem& aItem) {
    requests.push_back(&static_cast<const Request&>(aItem));
    return false;
  };
  admission::FindNext(aQueue, kOpenScanLimit, collect, kScanPerOrganisation);
  return requests;
}

bool
MayOpenAt(const Target& aTarget, Instant aNow)
{
  return AcceptsWork(aTarget) && aTarget.openAt_ <= aNow &&
         aTarget.pool_.opening_ < kMaxConcurrentOpens &&
         pool::HasSlotToOpen(aTarget.pool_);
}

// Makes room for one more connection. Returns whether there is room.
bool
MakeRoom(Context& aContext,
         Target& aTarget,
         const Organisations& aNeeded,
         pool::Replace aReplace)
{
  if (!pool::IsShareUsed(aTarget.pool_)) {
    return true;
  }
  auto* const replaced =
    pool::FindReplaceable(aTarget.pool_, aNeeded, aReplace, aContext.now_);
  if (replaced == nullptr || aTarget.pool_.share_ == 0) {
    return false;
  }
  Close(aContext, static_cast<Connection&>(*replaced));
  return !pool::IsShareUsed(aTarget.pool_);
}

Targets
FindReplicas(Context& aContext, const Request& aRequest)
{
  Targets replicas;
  const Target* const primary = FindPrimary(aContext.group_);
  for (auto& [name, target] : aContext.group_.targets_) {
    const bool eligible = FindIneligibleReason(aContext.group_,
                                               *target,
                                               aRequest.floor_,
                                               aRequest.maxAge_,
                                               aContext.now_)
                            .empty();
    if (target.get() != primary && eligible) {
      replicas.push_back(target.get());
    }
  }
  return replicas;
}

// The target with the fewest statements and openings in progress.
Target*
ChooseTargetToOpen(const Targets& aTargets, Instant aNow)
{
  Target* best = nullptr;
  const auto getLoad = [](const Target& aTarget) {
    return aTarget.pool_.busy_ + aTarget.pool_.opening_;
  };
  for (Target* const target : aTargets) {
    if (MayOpenAt(*target, aNow) &&
        (best == nullptr || getLoad(*target) < getLoad(*best))) {
      best = target;
    }
  }
  return best;
}

bool
IsOverdue(const Context& aContext, const Request& aRequest)
{
  return aContext.now_ - aRequest.arrivedAt_ >= kMaxWaitForConnection;
}

// The targets that may serve a queued request, and their connections for it.
struct Candidates
{
  Targets targets_;
  bool hasIdle_ = false;       //!< one is idle, at a target with a free slot
  std::uint32_t soonIdle_ = 0; //!< being opened, or running a statement
};

Candidates
FindCandidates(Targets aTargets, const foundation::Tenant& aOrganisation)
{
  Candidates candidates{ std::move(aTargets) };
  for (Target* const target : candidates.targets_) {
    candidates.soonIdle_ += pool::CountSoonIdle(target->pool_, aOrganisation);
    candidates.hasIdle_ |=
      pool::HasSlotToOpen(target->pool_) &&
      pool::FindIdle(target->pool_, aOrganisation) != nullptr;
  }
  return candidates;
}

std::uint32_t
CountFreeSlots(const Targets& aTargets)
{
  std::uint32_t slots = 0;
  for (const Target* const target : aTargets) {
    const std::uint32_t used = target->pool_.busy_ + target->pool_.opening_;
    slots += target->pool_.slots_ > used ? target->pool_.slots_ - used : 0;
  }
  return slots;
}

// Opens a connection for each request without one. One that is being opened or
// runs a statement will serve the next request of its organisation sooner than
// a new one would. Requests that come first and have a connection are to use
// the free slots.
template<class FindTargets>
void
OpenForQueue(Context& aContext,
             const std::vector<const Request*>& aRequests,
             const Organisations& aNeeded,
             bool aOnlyOverdue,
             FindTargets aFindTargets)
{
  std::map<foundation::Tenant, std::uint32_t> waiting;
  std::uint32_t ahead = 0;
  for (const Request* const request : aRequests) {
    const foundation::Tenant& organisation = request->tenant_;
    const Candidates candidates =
      FindCandidates(aFindTargets(*request), organisation);
    if (candidates.hasIdle_) {
      ++ahead; // It will use one of the free slots.
      continue;
    }
    const bool isOverdue = IsOverdue(aContext, *request);
    if (++waiting[organisation] <= candidates.soonIdle_ ||
        (aOnlyOverdue && !isOverdue) ||
        CountFreeSlots(candidates.targets_) <= ahead) {
      continue;
    }
    Target* const target =
      ChooseTargetToOpen(candidates.targets_, aContext.now_);
    const auto replace = candidates.soonIdle_ == 0 && isOverdue
                           ? pool::Replace::Used
                           : pool::Replace::Unneeded;
    if (target != nullptr && MakeRoom(aContext, *target, aNeeded, replace)) {
      Open(aContext, *target, organisation);
    }
  }
}

Organisations
GetOrganisations(const std::vector<const Request*>& aRequests)
{
  Organisations organisations;
  for (const Request* const request : aRequests) {
    organisations.insert(request->tenant_);
  }
  return organisations;
}

void
OpenFor(Context& aContext, bool aOnlyOverdue)
{
  Group& group = aContext.group_;
  if (std::ranges::none_of(group.targets_, [&](const auto& aEntry) {
        return MayOpenAt(*aEntry.second, aContext.now_);
      })) {
    return;
  }
  const auto forPrimary = GetFirstQueued(group.primaryQueue_);
  const auto reads = GetFirstQueued(group.readQueue_);
  Target* const primary = FindPrimary(group);
  if (primary != nullptr) {
    OpenForQueue(aContext,
                 forPrimary,
                 GetOrganisations(forPrimary),
                 aOnlyOverdue,
                 [&](const Request&) { return Targets{ primary }; });
  }
  OpenForQueue(
    aContext,
    reads,
    GetOrganisations(reads),
    aOnlyOverdue,
    [&](const Request& aRequest) { return FindReplicas(aContext, aRequest); });
}

} // namespace

void
OpenForOverdue(Context& aContext)
{
  if (aContext.group_.byOrganisation_) {
    OpenFor(aContext, true);
  }
}

void
OpenForOrganisations(Context& aContext)
{
  if (!aContext.group_.byOrganisation_) {
    return;
  }
  // NextConnectionWork wakes up only for targets with a delay.
  for (auto& [name, target] : aContext.group_.targets_) {
    if (target->openAt_ <= aContext.now_) {
      target->openAt_ = Instant();
    }
  }
  OpenFor(aContext, false);
}

} // namespace wigeonlb::core::traffic::internal
