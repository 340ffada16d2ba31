#include "core/failover/internal/announcedtargets.h"

namespace wigeonlb::core::failover {

wire::TargetState
MakeTargetState(const wire::Announcement& aAnnouncement)
{
  wire::TargetState state;
  state.set_target(aAnnouncement.target());
  state.set_address(aAnnouncement.address());
  state.set_data_centre(aAnnouncement.data_centre());
  state.set_slots(aAnnouncement.slots());
  state.set_connection_limit(aAnnouncement.connection_limit());
  state.set_incarnation(aAnnouncement.incarnation());
  state.set_dialect(aAnnouncement.dialect());
  state.set_can_fence(aAnnouncement.can_fence());
  state.set_checks_positions(aAnnouncement.checks_positions());
  state.set_slots_by_statement(aAnnouncement.slots_by_statement());
  state.set_counts_terms(aAnnouncement.counts_terms());
  return state;
}

bool
MatchesAnnouncement(const wire::TargetState& aState,
                    const wire::Announcement& aAnnouncement)
{
  return aState.target() == aAnnouncement.target() &&
         aState.address() == aAnnouncement.address() &&
         aState.data_centre() == aAnnouncement.data_centre() &&
         aState.slots() == aAnnouncement.slots() &&
         aState.connection_limit() == aAnnouncement.connection_limit() &&
         aState.incarnation() == aAnnouncement.incarnation() &&
         aState.dialect() == aAnnouncement.dialect() &&
         aState.can_fence() == aAnnouncement.can_fence() &&
         aState.checks_positions() == aAnnouncement.checks_positions() &&
         aState.slots_by_statement() == aAnnouncement.slots_by_statement() &&
         aState.counts_terms() == aAnnouncement.counts_terms();
}

namespace {

//! The announcements for which aPredicate is true of the entry and its name.
template<class Predicate>
std::vector<const wire::Announcement*>
FindAnnouncements(const GroupContext& aContext, Predicate aPredicate)
{
  std::vector<const wire::Announcement*> announcements;
  const auto& targets = aContext.state_.membership_.targets_;
  const auto group = targets.find(aContext.group_.group());
  if (group == targets.end()) {
    return announcements;
  }
  for (const auto& [name, entry] : group->second) {
    if (entry.announcement_ && aPredicate(name, entry)) {
      announcements.push_back(&*entry.announcement_);
    }
  }
  return announcements;
}

} // namespace

std::vector<const wire::Announcement*>
FindReceivingAnnouncements(const GroupContext& aContext)
{
  return FindAnnouncements(
    aContext, [&](const auto&, const membership::TargetEntry& aEntry) {
      return !aEntry.announcement_->gone() &&
             aContext.now_ - aEntry.announcedAt_ < membership::kTargetTimeoutMs;
    });
}

std::vector<const wire::Announcement*>
FindLiveAnnouncements(const GroupContext& aContext)
{
  return FindAnnouncements(
    aContext, [&](const auto& aName, const membership::TargetEntry&) {
      return membership::AcceptsNewWork(aContext.state_.membership_,
                                        aContext.group_.group(),
                                        aName,
                                        aContext.now_);
    });
}

} // namespace wigeonlb::core::failover
