#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "control.pb.h"
#include "storage.pb.h"

namespace wigeonlb::core::consensus {

//! A snapshot on disk, for members that need entries up to the log's base.
struct StoredSnapshot
  : boost::intrusive_ref_counter<StoredSnapshot, boost::thread_unsafe_counter>
{
  std::uint64_t index_ = 0;
  std::uint64_t term_ = 0;
  wire::MemberChange members_;
  std::string bytes_; //!< serialized ControlState
};
using SnapshotPointer = boost::intrusive_ptr<const StoredSnapshot>;

//! The log entries after the last compaction point, and the member lists that
//! they set.
struct ReplicatedLog
{
  //! Index and term of the entry before the first one in the log.
  std::uint64_t baseIndex_ = 0;
  std::uint64_t baseTerm_ = 0;
  std::deque<wire::ConsensusEntry> entries_;
  //! Member lists with the index of the entry that set them, oldest first.
  //! Never empty.
  std::vector<std::pair<std::uint64_t, wire::MemberChange>> members_;
  SnapshotPointer snapshot_; //!< the latest one; null: none
};

//! Index of the latest snapshot; zero if there is none.
std::uint64_t
SnapshotIndex(const ReplicatedLog& aLog);

//! Size of the entries after aFrom, up to and including aTo.
std::size_t
CountEntryBytes(const ReplicatedLog& aLog,
                std::uint64_t aFrom,
                std::uint64_t aTo);

std::uint64_t
LastIndex(const ReplicatedLog& aLog);
std::uint64_t
LastTerm(const ReplicatedLog& aLog);

//! True if the log contains an entry at aIndex, or has its base there, with the
//! given term.
bool
HasEntry(const ReplicatedLog& aLog, std::uint64_t aIndex, std::uint64_t aTerm);

//! Term of the entry or base at aIndex; zero if the log does not contain it.
std::uint64_t
TermAt(const ReplicatedLog& aLog, std::uint64_t aIndex);

//! The entry at aIndex, which must be in the log.
const wire::ConsensusEntry&
EntryAt(const ReplicatedLog& aLog, std::uint64_t aIndex);

//! Appends an entry, which must have the next index.
void
Append(ReplicatedLog& aLog, const wire::ConsensusEntry& aEntry);

//! Removes the entries from aIndex on and the member lists that they set.
void
TruncateFrom(ReplicatedLog& aLog, std::uint64_t aIndex);

//! Records a snapshot that was saved to disk and drops the entries up to it,
//! except for the last aKept ones, of at most aKeptBytes. Ignores older
//! snapshots.
void
Compact(ReplicatedLog& aLog,
        const wire::MemberSnapshot& aSnapshot,
        std::uint64_t aKept,
        std::size_t aKeptBytes);

//! Replaces the whole log with a snapshot.
void
ResetToSnapshot(ReplicatedLog& aLog, const wire::MemberSnapshot& aSnapshot);

//! The members in force: the list of the last entry that sets one, committed or
//! not.
const wire::MemberChange&
CurrentMembers(const ReplicatedLog& aLog);

//! The members as of the entry at aIndex.
const wire::MemberChange&
MembersAt(const ReplicatedLog& aLog, std::uint64_t aIndex);

//! True while a change of members is under way: each decision needs a quorum of
//! the outgoing voters as well.
bool
IsJoint(const wire::MemberChange& aMembers);

//! The incarnation with which a host may vote for a member with this log even
//! if its own log does not admit it yet; zero if there is none. Either the
//! latest change adds it as a voter, so that no quorum of an earlier
//! incarnation can elect anyone any more, or the change before, which is
//! committed, admits it.
std::uint64_t
GetVotingIncarnation(const ReplicatedLog& aLog, std::string_view aHost);

//! A change that adds a voter, and the change before it, which is committed.
struct AddingChange
{
  std::uint64_t index_ = 0;
  std::uint64_t beforeIndex_ = 0;
};

//! The latest change if it adds the host as a voter.
std::optional<AddingChange>
FindAddingChange(const ReplicatedLog& aLog, std::string_view aHost);

//! The incarnation with which a host is admitted; zero, the incarnation of the
//! founders, if none is listed.
std::uint64_t
GetAdmittedIncarnation(const wire::MemberChange& aMembers,
                       std::string_view aHost);

//! True if the member is a voter, or an outgoing one.
bool
IsVoter(const wire::MemberChange& aMembers, std::string_view aHost);

} // namespace wigeonlb::core::consensus
