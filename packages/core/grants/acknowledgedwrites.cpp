#include "core/grants/acknowledgedwrites.h"

#include <algorithm>

#include "core/configuration/groupoptions.h"

namespace wigeonlb::core::grants {

using foundation::Instant;
using foundation::LogPosition;
using foundation::TermEpoch;

namespace {

//! Removes the records of former starts of the holder's host. Those of which
//! something is missing can't tell it any more.
void
RemoveFormerStarts(TermWrites& aWrites, const HolderKey& aHolder)
{
  std::erase_if(aWrites.holders_, [&](const auto& aItem) {
    const auto& [key, writes] = aItem;
    if (key.host_ != aHolder.host_ || key.boot_ == aHolder.boot_) {
      return false;
    }
    aWrites.knowsAllHolders_ &= writes.hasToldAll_ && writes.unknown_ == 0;
    return true;
  });
}

//! Whether the heartbeat shows that the holder doesn't use its last grant any
//! more.
bool
HasStopped(const HolderWrites& aWrites,
           std::string_view aGroup,
           const wire::Heartbeat& aHeartbeat)
{
  const bool released =
    std::ranges::any_of(aHeartbeat.released(), [&](const auto& aReleased) {
      return aReleased.group() == aGroup &&
             foundation::GetTermEpoch(aReleased) >= aWrites.issuedTerm_;
    });
  const bool holds =
    std::ranges::any_of(aHeartbeat.held(), [&](const auto& aHeld) {
      return aHeld.group() == aGroup && aHeld.term() != 0;
    });
  return released ||
         (!holds && aHeartbeat.last_reply() >= aWrites.issuedSequence_);
}

LogPosition
ToPosition(const wire::LogPosition& aPosition)
{
  return { aPosition.term(), aPosition.offset() };
}

//! What the replicated state tells of writes that the holders may have
//! forgotten.
LogPosition
FindRecorded(const wire::GroupState& aGroup)
{
  auto recorded = ToPosition(aGroup.acknowledged());
  for (const auto& departed : aGroup.departed()) {
    recorded = std::max(
      recorded, LogPosition{ departed.read_term(), departed.read_offset() });
  }
  return recorded;
}

} // namespace

void
BeginTerm(TermWrites& aWrites, std::uint64_t aTerm, bool aKnowsAllHolders)
{
  aWrites = {};
  aWrites.term_ = aTerm;
  aWrites.knowsAllHolders_ = aKnowsAllHolders;
}

void
RecordIssued(TermWrites& aWrites,
             const HolderKey& aHolder,
             TermEpoch aTerm,
             std::uint64_t aSequence)
{
  if (aWrites.term_ != aTerm.term_) {
    BeginTerm(aWrites, aTerm.term_, false);
  }
  RemoveFormerStarts(aWrites, aHolder);
  auto& holder = aWrites.holders_[aHolder];
  holder.issuedTerm_ = aTerm;
  holder.issuedSequence_ = aSequence;
  holder.hasToldAll_ = false;
}

void
NoteWriter(WritesByGroup& aWrites,
           const wire::GroupState& aGroup,
           const wire::Heartbeat& aHeartbeat,
           wire::Grant& aGrant)
{
  if (configuration::OptionText(aGroup, "acknowledge") != "one_replica") {
    const auto found = aWrites.find(aGroup.group());
    if (found != aWrites.end()) {
      found->second.knowsAllHolders_ = false;
    }
    return;
  }
  TermWrites& writes = aWrites[aGroup.group()];
  const auto& sender = aHeartbeat.sender();
  RecordIssued(writes,
               { sender.host(), sender.boot() },
               foundation::GetTermEpoch(aGroup),
               aHeartbeat.sequence());
  if (writes.mostOffset_ == 0) {
    return;
  }
  auto* acknowledged = aGrant.mutable_acknowledged();
  acknowledged->set_group(aGroup.group());
  acknowledged->set_term(writes.term_);
  acknowledged->set_least_offset(writes.leastOffset_);
  acknowledged->set_most_offset(writes.mostOffset_);
}

void
RecordTold(TermWrites& aWrites,
           const HolderKey& aHolder,
           std::string_view aGroup,
           const wire::Heartbeat& aHeartbeat,
           Instant aNow)
{
  const auto told =
    std::ranges::find_if(aHeartbeat.acknowledged(), [&](const auto& aTold) {
      return aTold.group() == aGroup && aTold.term() == aWrites.term_;
    });
  const bool hasWrites = told != aHeartbeat.acknowledged().end();
  if (hasWrites) {
    aWrites.leastOffset_ = std::max(aWrites.leastOffset_, told->least_offset());
    aWrites.mostOffset_ = std::max(aWrites.mostOffset_, told->most_offset());
  }
  const auto holder = aWrites.holders_.find(aHolder);
  if (holder == aWrites.holders_.end()) {
    return; // an earlier leader has issued its grant
  }
  holder->second.toldAt_ = aNow;
  holder->second.unknown_ = hasWrites ? told->unknown() : 0;
  holder->second.hasToldAll_ |= HasStopped(holder->second, aGroup, aHeartbeat);
}

bool
HaveAllToldSince(const TermWrites& aWrites, Instant aSince)
{
  return std::ranges::all_of(aWrites.holders_, [&](const auto& aItem) {
    return aItem.second.hasToldAll_ || aItem.second.toldAt_ >= aSince;
  });
}

AcknowledgedBounds
FindAcknowledged(const TermWrites* aWrites, const wire::GroupState& aGroup)
{
  AcknowledgedBounds bounds;
  bounds.least_ = FindRecorded(aGroup);
  bounds.most_ = bounds.least_;
  if (aWrites == nullptr || aWrites->term_ != aGroup.term()) {
    return bounds;
  }
  const auto raise = [&](LogPosition& aBound, std::uint64_t aOffset) {
    aBound = std::max(aBound, LogPosition{ aGroup.term(), aOffset });
  };
  raise(bounds.least_, aWrites->leastOffset_);
  raise(bounds.most_, aWrites->mostOffset_);
  bounds.isExact_ =
    aWrites->knowsAllHolders_ &&
    std::ranges::all_of(aWrites->holders_, [](const auto& aItem) {
      return aItem.second.hasToldAll_ && aItem.second.unknown_ == 0;
    });
  return bounds;
}

} // namespace wigeonlb::core::grants
