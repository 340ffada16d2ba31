#include "core/grants/internal/heldgrants.h"

#include <algorithm>
#include <utility>

namespace wigeonlb::core::grants::internal {

using foundation::Duration;
using foundation::GetTermEpoch;
using foundation::Instant;
using foundation::TermEpoch;

namespace {

using Actions = std::vector<HolderAction>;

Instant
ToInstant(std::uint64_t aMicroseconds)
{
  return Instant(Duration(static_cast<std::int64_t>(aMicroseconds)));
}

void
EndTerm(HolderState& aState,
        const foundation::GroupName& aGroup,
        const TermEpoch& aTerm)
{
  auto& ended = aState.endedTerms_[aGroup];
  ended = std::max(ended, aTerm);
}

//! Removes a grant that is no longer in use.
void
DropGrant(HolderState& aState,
          const foundation::GroupName& aGroup,
          Actions& aActions)
{
  const auto& held = aState.grants_.at(aGroup);
  if (!held.closed_) {
    aState.leftoverConnections_[aGroup] =
      std::max(held.grant_.connection_share(), held.shareInUse_);
  }
  aState.grants_.erase(aGroup);
  aActions.push_back(GrantChanged{ aGroup, std::nullopt, {} });
}

//! Removes a grant and reports to the leader that it will never be used again.
void
Release(HolderState& aState,
        const foundation::GroupName& aGroup,
        const TermEpoch& aTerm,
        Actions& aActions)
{
  EndTerm(aState, aGroup, aTerm);
  aState.releases_.try_emplace({ aGroup, aTerm }, 0);
  DropGrant(aState, aGroup, aActions);
  aState.nextHeartbeat_ = aState.lastSent_;
}

//! Stops new writes under a grant until aReleaseBy.
void
StopGrant(HeldGrant& aHeld, Instant aReleaseBy, Actions& aActions)
{
  if (aHeld.stopped_ && aHeld.releaseBy_ <= aReleaseBy) {
    return;
  }
  aHeld.stopped_ = true;
  aHeld.releaseBy_ = std::min(aHeld.expires_, aReleaseBy);
  aActions.push_back(StopNewWrites{ aHeld.grant_.group(),
                                    aHeld.grant_.term(),
                                    aHeld.releaseBy_,
                                    aHeld.revoked_,
                                    aHeld.grant_.epoch() });
}

void
RevokeHeld(HolderState& aState,
           HeldGrant& aHeld,
           Instant aNow,
           Actions& aActions)
{
  EndTerm(aState, aHeld.grant_.group(), GetTermEpoch(aHeld.grant_));
  aHeld.revoked_ = true;
  StopGrant(aHeld, aNow + kReleaseDrainMs, aActions);
}

void
EndDrained(HolderState& aState,
           const foundation::GroupName& aGroup,
           Actions& aActions)
{
  const auto held = aState.grants_.at(aGroup);
  if (held.revoked_) {
    Release(aState, aGroup, GetTermEpoch(held.grant_), aActions);
  } else {
    DropGrant(aState, aGroup, aActions);
  }
}

//! Lists the holders whose lease has ended; none while the leader is new,
//! because its lists may be incomplete.
std::vector<HolderKey>
ListEndedHolders(const HolderState& aState, const foundation::GroupName& aGroup)
{
  std::vector<HolderKey> ended;
  const auto list = aState.holders_.find(aGroup);
  if (aState.sendHolderLists_ || list == aState.holders_.end()) {
    return ended;
  }
  for (const auto& holder : list->second.holders()) {
    if (holder.lease_ended()) {
      ended.push_back({ holder.host(), holder.boot() });
    }
  }
  return ended;
}

//! Releases a grant whose term is superseded by a later one. A host that was
//! frozen may still be draining it when it receives the grant of the next term.
void
ReleaseSupersededTerm(HolderState& aState, HeldGrant& aHeld)
{
  if (aHeld.grant_.term() != 0) {
    const auto term = GetTermEpoch(aHeld.grant_);
    EndTerm(aState, aHeld.grant_.group(), term);
    aState.releases_.try_emplace({ aHeld.grant_.group(), term }, 0);
  }
  aHeld.revoked_ = false;
  aHeld.expires_ = {};
}

//! Of this host, in the same term.
std::uint32_t
GetUnknownWrites(const HolderState& aState,
                 const wire::AcknowledgedWrites& aWrites)
{
  const auto known = aState.acknowledged_.find(aWrites.group());
  const bool isSame = known != aState.acknowledged_.end() &&
                      known->second.term() == aWrites.term();
  return isSame ? known->second.unknown() : 0;
}

} // namespace

void
StoreAcknowledged(HolderState& aState, const wire::AcknowledgedWrites& aWrites)
{
  auto& known = aState.acknowledged_[aWrites.group()];
  if (known.term() > aWrites.term()) {
    return;
  }
  auto stored = aWrites;
  if (known.term() == aWrites.term()) {
    stored.set_least_offset(
      std::max(known.least_offset(), aWrites.least_offset()));
    stored.set_most_offset(
      std::max(known.most_offset(), aWrites.most_offset()));
  }
  known = std::move(stored);
}

void
EndExpiredGrants(HolderState& aState, Instant aNow, Actions& aActions)
{
  std::vector<foundation::GroupName> ending;
  for (const auto& [group, held] : aState.grants_) {
    const bool drained = held.stopped_ && aNow >= held.releaseBy_;
    if (drained || (aNow >= held.expires_ && !aState.ignoreLeaseEnd_)) {
      ending.push_back(group);
    }
  }
  for (const auto& group : ending) {
    EndDrained(aState, group, aActions);
  }
}

void
ApplyGrant(HolderState& aState,
           const wire::Grant& aGrant,
           std::uint64_t aSentAt,
           Instant aNow,
           Actions& aActions)
{
  const auto ended = aState.endedTerms_.find(aGrant.group());
  if (ended != aState.endedTerms_.end() &&
      GetTermEpoch(aGrant) <= ended->second) {
    return;
  }
  const auto expires =
    ToInstant(aSentAt) + Duration(static_cast<std::int64_t>(aGrant.lease_us()));
  if (expires <= aNow) {
    return;
  }
  auto& held = aState.grants_[aGrant.group()];
  const auto leftover = aState.leftoverConnections_.find(aGrant.group());
  if (leftover != aState.leftoverConnections_.end()) {
    held.shareInUse_ = std::max(held.shareInUse_, leftover->second);
    aState.leftoverConnections_.erase(leftover);
  }
  if (GetTermEpoch(held.grant_) > GetTermEpoch(aGrant)) {
    return;
  }
  if (GetTermEpoch(held.grant_) != GetTermEpoch(aGrant)) {
    ReleaseSupersededTerm(aState, held);
  }
  held.shareInUse_ = std::max(held.shareInUse_, held.grant_.connection_share());
  if (aGrant.connection_share() >= held.shareInUse_) {
    held.shareInUse_ = 0;
  }
  if (aGrant.has_acknowledged()) {
    auto acknowledged = aGrant.acknowledged();
    acknowledged.set_unknown(GetUnknownWrites(aState, acknowledged));
    StoreAcknowledged(aState, acknowledged);
  }
  held.grant_ = aGrant;
  held.stopped_ = false;
  held.expires_ = std::max(held.expires_, expires);
  aActions.push_back(GrantChanged{ aGrant.group(),
                                   aGrant,
                                   held.expires_,
                                   ListEndedHolders(aState, aGrant.group()) });
}

void
StopUnrenewedGrants(HolderState& aState,
                    const wire::HeartbeatReply& aReply,
                    Instant aNow,
                    Actions& aActions)
{
  // Mostly this host is no longer an owner: nothing waits for the release, so
  // work in flight may use the rest of the lease. If the primary is changed, a
  // revocation follows and ends the grant sooner. It may also be issued again.
  for (auto& [group, held] : aState.grants_) {
    const bool named = std::ranges::any_of(
      aReply.grants(),
      [&group = group](const auto& aGrant) { return aGrant.group() == group; });
    if (!named) {
      StopGrant(held, held.expires_, aActions);
      aState.urgentUntil_ = aNow + kUrgentPeriodMs;
    }
  }
}

void
ApplyRevocation(HolderState& aState,
                const wire::RevokeGrant& aRevoke,
                Instant aNow,
                Actions& aActions)
{
  const auto& key = aRevoke.key();
  const auto held = aState.grants_.find(key.group());
  EndTerm(aState, key.group(), GetTermEpoch(key));
  aState.urgentUntil_ = aNow + kUrgentPeriodMs;
  if (held == aState.grants_.end() ||
      GetTermEpoch(held->second.grant_) > GetTermEpoch(key)) {
    aState.releases_.try_emplace({ key.group(), GetTermEpoch(key) }, 0);
    aState.nextHeartbeat_ = aState.lastSent_;
    return;
  }
  RevokeHeld(aState, held->second, aNow, aActions);
}

void
UpdateShareInUse(HolderState& aState, const ShareInUse& aEvent)
{
  const auto held = aState.grants_.find(aEvent.group_);
  if (held != aState.grants_.end()) {
    held->second.shareInUse_ = aEvent.connections_;
    held->second.closed_ = aEvent.connections_ == 0;
  } else if (aEvent.connections_ == 0) {
    aState.leftoverConnections_.erase(aEvent.group_);
  } else {
    aState.leftoverConnections_[aEvent.group_] = aEvent.connections_;
  }
}

void
HandleDrained(HolderState& aState,
              const DrainedForRelease& aEvent,
              Actions& aActions)
{
  const auto held = aState.grants_.find(aEvent.group_);
  if (held == aState.grants_.end() ||
      GetTermEpoch(held->second.grant_) != aEvent.term_) {
    return;
  }
  held->second.revoked_ |= aState.self_.draining();
  if (held->second.stopped_ || held->second.revoked_) {
    EndDrained(aState, aEvent.group_, aActions);
  }
}

} // namespace wigeonlb::core::grants::internal
