#include "core/grants/holderrecord.h"

#include <algorithm>

#include "core/grants/owners.h"

namespace wigeonlb::core::grants {

using foundation::Instant;

namespace {

//! Removes the grants that were issued before the reply aLastReply. The holder
//! has processed that reply and ignores all older ones, so only later grants
//! and the share that it reports as in use still count.
void
RemoveSupersededGrants(HolderRecord& aRecord,
                       const wire::Grant& aHeld,
                       std::uint64_t aLastReply)
{
  const auto confirmed =
    std::ranges::find_if(aRecord.issued_, [&](const auto& aIssued) {
      return aIssued.sequence_ == aLastReply;
    });
  if (confirmed == aRecord.issued_.end() || confirmed->term_ != aHeld.term()) {
    return;
  }
  confirmed->share_ = std::max(confirmed->share_, aHeld.connection_share());
  aRecord.issued_.erase(aRecord.issued_.begin(), confirmed);
  aRecord.leftoverConnections_ = 0;
  if (aRecord.ended_.sequence_ < aLastReply) {
    aRecord.ended_ = {};
  }
}

//! Records that the holder has no grant after processing the reply aLastReply.
//! Grants issued up to that reply are no longer in use, and the holder reports
//! their open connections as left over.
void
RecordUnusedGrants(HolderRecord& aRecord, std::uint64_t aLastReply)
{
  aRecord.unusedThroughSequence_ =
    std::max(aRecord.unusedThroughSequence_, aLastReply);
  if (aRecord.ended_.sequence_ <= aLastReply) {
    aRecord.ended_ = {};
  }
}

} // namespace

void
RecordHeldGrant(HolderRecord& aRecord,
                const wire::Grant* aHeld,
                std::uint64_t aLastReply,
                Instant aNow)
{
  MoveEndedGrants(aRecord, aNow);
  aRecord.lastHeartbeatAt_ = aNow;
  aRecord.hasProbeConnection_ = aHeld != nullptr;
  if (aHeld != nullptr && aHeld->term() != 0) {
    RemoveSupersededGrants(aRecord, *aHeld, aLastReply);
    return;
  }
  RecordUnusedGrants(aRecord, aLastReply);
  aRecord.leftoverConnections_ =
    aHeld == nullptr ? 0 : aHeld->connection_share();
}

void
MoveEndedGrants(HolderRecord& aRecord, Instant aNow)
{
  std::erase_if(aRecord.issued_, [&](const auto& aIssued) {
    if (aIssued.ends_ > aNow) {
      return false;
    }
    if (aIssued.sequence_ > aRecord.unusedThroughSequence_) {
      auto& ended = aRecord.ended_;
      ended.sequence_ = std::max(ended.sequence_, aIssued.sequence_);
      ended.share_ = std::max(ended.share_, aIssued.share_);
      ended.endedAt_ = std::max(ended.endedAt_, aIssued.ends_);
    }
    return true;
  });
}

std::uint32_t
GetCountedShare(const HolderRecord& aRecord, Instant aNow)
{
  std::uint32_t share = 0;
  const auto& ended = aRecord.ended_;
  const bool isCurrent = !aRecord.replaced_;
  if (isCurrent && aNow < ended.endedAt_ + kUnresponsiveHolderExpiryMs) {
    share = ended.share_;
  }
  if (isCurrent &&
      aNow < aRecord.lastHeartbeatAt_ + kUnresponsiveHolderExpiryMs) {
    share = std::max(share, aRecord.leftoverConnections_);
  }
  for (const auto& issued : aRecord.issued_) {
    const bool runs = issued.ends_ > aNow;
    const bool mayBeInUse = isCurrent &&
                            issued.sequence_ > aRecord.unusedThroughSequence_ &&
                            aNow < issued.ends_ + kUnresponsiveHolderExpiryMs;
    if (runs || mayBeInUse) {
      share = std::max(share, issued.share_);
    }
  }
  return share;
}

std::uint32_t
GetCountedConnections(const HolderRecord& aRecord, Instant aNow)
{
  const auto share = GetCountedShare(aRecord, aNow);
  const bool probes =
    aRecord.hasProbeConnection_ && !aRecord.replaced_ &&
    aNow < aRecord.lastHeartbeatAt_ + kUnresponsiveHolderExpiryMs;
  return share > 0 || probes ? share + kProbeConnections : 0;
}

bool
IsUnresponsiveSinceLeaseEnd(const HolderRecord& aRecord, Instant aNow)
{
  Instant end = aRecord.ended_.endedAt_;
  for (const auto& issued : aRecord.issued_) {
    end = std::max(end, issued.ends_);
  }
  return !aRecord.replaced_ && end <= aNow && aRecord.lastHeartbeatAt_ < end;
}

bool
MayUseTerm(const HolderRecord& aRecord, std::uint64_t aTerm, Instant aNow)
{
  return std::ranges::any_of(aRecord.issued_, [&](const auto& aIssued) {
    return aIssued.term_ <= aTerm && aIssued.ends_ > aNow &&
           foundation::TermEpoch{ aIssued.term_, aIssued.epoch_ } >
             aRecord.released_;
  });
}

bool
IsEmpty(const HolderRecord& aRecord, Instant aNow)
{
  return aRecord.issued_.empty() && GetCountedConnections(aRecord, aNow) == 0 &&
         (aRecord.released_.term_ == 0 || aRecord.replaced_);
}

} // namespace wigeonlb::core::grants
