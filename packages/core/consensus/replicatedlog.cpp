#include "core/consensus/replicatedlog.h"

#include <algorithm>

namespace wigeonlb::core::consensus {

namespace {

// Drops member lists that were replaced at or before aIndex.
void
DropOldMembers(ReplicatedLog& aLog, std::uint64_t aIndex)
{
  auto& members = aLog.members_;
  while (members.size() > 1 && members[1].first <= aIndex) {
    members.erase(members.begin());
  }
}

SnapshotPointer
MakeStoredSnapshot(const wire::MemberSnapshot& aSnapshot)
{
  auto* const stored = new StoredSnapshot();
  SnapshotPointer pointer(stored);
  stored->index_ = aSnapshot.last_index();
  stored->term_ = aSnapshot.last_term();
  stored->members_ = aSnapshot.members();
  stored->bytes_ = aSnapshot.state().SerializeAsString();
  return pointer;
}

} // namespace

std::uint64_t
LastIndex(const ReplicatedLog& aLog)
{
  return aLog.baseIndex_ + aLog.entries_.size();
}

std::uint64_t
LastTerm(const ReplicatedLog& aLog)
{
  return aLog.entries_.empty() ? aLog.baseTerm_ : aLog.entries_.back().term();
}

bool
HasEntry(const ReplicatedLog& aLog, std::uint64_t aIndex, std::uint64_t aTerm)
{
  const bool held = aIndex >= aLog.baseIndex_ && aIndex <= LastIndex(aLog);
  return held && TermAt(aLog, aIndex) == aTerm;
}

std::uint64_t
TermAt(const ReplicatedLog& aLog, std::uint64_t aIndex)
{
  if (aIndex == aLog.baseIndex_) {
    return aLog.baseTerm_;
  }
  if (aIndex < aLog.baseIndex_ || aIndex > LastIndex(aLog)) {
    return 0;
  }
  return EntryAt(aLog, aIndex).term();
}

const wire::ConsensusEntry&
EntryAt(const ReplicatedLog& aLog, std::uint64_t aIndex)
{
  return aLog.entries_[aIndex - aLog.baseIndex_ - 1];
}

void
Append(ReplicatedLog& aLog, const wire::ConsensusEntry& aEntry)
{
  aLog.entries_.push_back(aEntry);
  if (aEntry.record().has_members()) {
    aLog.members_.emplace_back(aEntry.index(), aEntry.record().members());
  }
}

void
TruncateFrom(ReplicatedLog& aLog, std::uint64_t aIndex)
{
  while (!aLog.entries_.empty() && LastIndex(aLog) >= aIndex) {
    aLog.entries_.pop_back();
  }
  while (aLog.members_.size() > 1 && aLog.members_.back().first >= aIndex) {
    aLog.members_.pop_back();
  }
}

std::uint64_t
SnapshotIndex(const ReplicatedLog& aLog)
{
  return aLog.snapshot_ ? aLog.snapshot_->index_ : 0;
}

std::size_t
CountEntryBytes(const ReplicatedLog& aLog,
                std::uint64_t aFrom,
                std::uint64_t aTo)
{
  std::size_t bytes = 0;
  for (std::uint64_t i = std::max(aFrom, aLog.baseIndex_) + 1; i <= aTo; ++i) {
    bytes += EntryAt(aLog, i).ByteSizeLong();
  }
  return bytes;
}

void
Compact(ReplicatedLog& aLog,
        const wire::MemberSnapshot& aSnapshot,
        std::uint64_t aKept,
        std::size_t aKeptBytes)
{
  const std::uint64_t index = aSnapshot.last_index();
  if (index <= SnapshotIndex(aLog)) {
    return;
  }
  aLog.snapshot_ = MakeStoredSnapshot(aSnapshot);
  std::size_t bytes = CountEntryBytes(aLog, aLog.baseIndex_, index);
  while (aLog.baseIndex_ < index && !aLog.entries_.empty() &&
         (aLog.baseIndex_ + aKept < index || bytes > aKeptBytes)) {
    bytes -= aLog.entries_.front().ByteSizeLong();
    aLog.baseTerm_ = aLog.entries_.front().term();
    aLog.entries_.pop_front();
    ++aLog.baseIndex_;
  }
  DropOldMembers(aLog, aLog.baseIndex_);
}

void
ResetToSnapshot(ReplicatedLog& aLog, const wire::MemberSnapshot& aSnapshot)
{
  aLog.entries_.clear();
  aLog.baseIndex_ = aSnapshot.last_index();
  aLog.baseTerm_ = aSnapshot.last_term();
  aLog.members_ = { { aSnapshot.last_index(), aSnapshot.members() } };
  aLog.snapshot_ = MakeStoredSnapshot(aSnapshot);
}

const wire::MemberChange&
CurrentMembers(const ReplicatedLog& aLog)
{
  return aLog.members_.back().second;
}

const wire::MemberChange&
MembersAt(const ReplicatedLog& aLog, std::uint64_t aIndex)
{
  auto found = aLog.members_.rbegin();
  while (found->first > aIndex && std::next(found) != aLog.members_.rend()) {
    ++found;
  }
  return found->second;
}

bool
IsJoint(const wire::MemberChange& aMembers)
{
  return !aMembers.outgoing_voters().empty();
}

std::uint64_t
GetVotingIncarnation(const ReplicatedLog& aLog, std::string_view aHost)
{
  const auto& history = aLog.members_;
  const wire::MemberChange& latest = history.back().second;
  if (!IsVoter(latest, aHost)) {
    return 0;
  }
  const std::uint64_t admitted = GetAdmittedIncarnation(latest, aHost);
  if (history.size() == 1) {
    return admitted;
  }
  // A change is proposed only once the one before it is committed.
  const wire::MemberChange& before = history[history.size() - 2].second;
  const bool stays = IsVoter(before, aHost);
  const bool readmitted =
    stays && GetAdmittedIncarnation(before, aHost) != admitted;
  return readmitted ? 0 : admitted;
}

std::optional<AddingChange>
FindAddingChange(const ReplicatedLog& aLog, std::string_view aHost)
{
  const auto& history = aLog.members_;
  if (history.size() < 2) {
    return std::nullopt;
  }
  const auto& [index, latest] = history.back();
  const auto& [beforeIndex, before] = history[history.size() - 2];
  const bool adds = IsVoter(latest, aHost) && !IsVoter(before, aHost);
  return adds ? std::optional(AddingChange{ index, beforeIndex })
              : std::nullopt;
}

std::uint64_t
GetAdmittedIncarnation(const wire::MemberChange& aMembers,
                       std::string_view aHost)
{
  const auto found = aMembers.incarnations().find(std::string(aHost));
  return found == aMembers.incarnations().end() ? 0 : found->second;
}

bool
IsVoter(const wire::MemberChange& aMembers, std::string_view aHost)
{
  const auto lists = { &aMembers.voters(), &aMembers.outgoing_voters() };
  return std::ranges::any_of(lists, [&](const auto* aList) {
    return std::ranges::find(*aList, aHost) != aList->end();
  });
}

} // namespace wigeonlb::core::consensus
