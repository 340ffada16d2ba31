#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "control.pb.h"
#include "storage.pb.h"

namespace wigeonlb::core::consensus {

//! The entries that a member holds, from after a compaction point on, and the
//! members that they decide.
struct ReplicatedLog
{
  //! Index and term before the first entry held.
  std::uint64_t baseIndex_ = 0;
  std::uint64_t baseTerm_ = 0;
  std::deque<wire::ConsensusEntry> entries_;
  //! Members by the index that set them, oldest first; never empty.
  std::vector<std::pair<std::uint64_t, wire::MemberChange>> members_;
  //! The newest snapshot on the disk, for members that lag behind the base.
  std::uint64_t snapshotIndex_ = 0;
  std::uint64_t snapshotTerm_ = 0;
  wire::MemberChange snapshotMembers_;
  std::string snapshotBytes_; //!< serialized ControlState
};

std::uint64_t
LastIndex(const ReplicatedLog& aLog);
std::uint64_t
LastTerm(const ReplicatedLog& aLog);

//! True if the entry at aIndex, or the base, is held and has that term.
bool
HasEntry(const ReplicatedLog& aLog, std::uint64_t aIndex, std::uint64_t aTerm);

//! Term of the entry or base at aIndex; zero if it is not held.
std::uint64_t
TermAt(const ReplicatedLog& aLog, std::uint64_t aIndex);

//! The entry at aIndex, which must be held.
const wire::ConsensusEntry&
EntryAt(const ReplicatedLog& aLog, std::uint64_t aIndex);

//! Adds an entry with the next index.
void
Append(ReplicatedLog& aLog, const wire::ConsensusEntry& aEntry);

//! Removes the entries at and after aIndex and the members that they set.
void
TruncateFrom(ReplicatedLog& aLog, std::uint64_t aIndex);

//! Takes note of a snapshot on the disk and drops the entries before it,
//! except for the newest aKept ones.
void
Compact(ReplicatedLog& aLog,
        const wire::MemberSnapshot& aSnapshot,
        std::uint64_t aKept);

//! Replaces everything by a snapshot.
void
ResetToSnapshot(ReplicatedLog& aLog, const wire::MemberSnapshot& aSnapshot);

//! The members in force, and those as of aIndex.
const wire::MemberChange&
CurrentMembers(const ReplicatedLog& aLog);
const wire::MemberChange&
MembersAt(const ReplicatedLog& aLog, std::uint64_t aIndex);

//! True if the member is a voter.
bool
IsVoter(const wire::MemberChange& aMembers, std::string_view aHost);

} // namespace wigeonlb::core::consensus
