#include "core/grants/tests/deliveryworld.h"

#include <algorithm>

namespace wigeonlb::core::grants::delivery {

std::uint64_t
Draw(World& aWorld, std::uint64_t aBelow)
{
  return aWorld.random_() % aBelow;
}

bool
IsCalm(const World& aWorld)
{
  return aWorld.now_ >= aWorld.calmAt_;
}

Revision
Newest(const World& aWorld)
{
  return aWorld.history_.size() - 1;
}

//! The newest revision that was decided on at a time.
Revision
NewestAt(const World& aWorld, Instant aAt)
{
  const auto after = std::ranges::upper_bound(aWorld.decidedAt_, aAt);
  return static_cast<Revision>(after - aWorld.decidedAt_.begin()) - 1;
}

std::vector<HostId>
ListMembers(const wire::MemberChange& aMembers)
{
  std::vector<HostId> names(aMembers.voters().begin(), aMembers.voters().end());
  names.insert(
    names.end(), aMembers.learners().begin(), aMembers.learners().end());
  return names;
}

} // namespace wigeonlb::core::grants::delivery
