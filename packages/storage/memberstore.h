#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <system_error>
#include <vector>

#include "foundation/findings.h"
#include "storage.pb.h"
#include "storage/appendlog.h"
#include "storage/datafolder.h"

namespace wigeonlb::storage {

//! Persistent state of a control member, as read from its data folder.
struct MemberImage
{
  //! Absent when the folder was never used by a control member.
  std::optional<wire::HardState> hardState_;
  wire::MemberSnapshot snapshot_;
  //! Entries after the snapshot, in order.
  std::vector<wire::ConsensusEntry> entries_;
};

//! Stores the hard state, the log entries and the snapshot of a control member.
struct MemberStore
{
  DataFolder* folder_ = nullptr;
  AppendLog log_;
  wire::HardState hardState_;
  std::uint64_t snapshotIndex_ = 0;
  //! First log record whose entries are valid with the stored snapshot.
  std::uint64_t firstSequence_ = 0;
};

//! Reads the folder and opens the log for appending. aFindings lists repairs (a
//! torn last record is truncated) or, with an error, the damaged file and
//! offset.
std::error_code
Load(DataFolder& aFolder,
     MemberStore& aStore,
     MemberImage& aImage,
     foundation::Findings& aFindings);

//! Reads the folder again after a failed write, and stores all of it anew, as
//! what the failed write left may not be on the disk. The log accepts writes
//! again unless an error is returned; the call can be repeated then.
std::error_code
Reload(DataFolder& aFolder,
       MemberStore& aStore,
       MemberImage& aImage,
       foundation::Findings& aFindings);

//! Writes the hard state, the truncation and the entries with a single sync.
//! Entries from the index aTruncateFrom on are removed first; 0 removes none.
std::error_code
Save(MemberStore& aStore,
     const wire::HardState& aHardState,
     std::uint64_t aTruncateFrom,
     std::span<const wire::ConsensusEntry> aEntries);

//! Saves a snapshot of the member's own state and starts a new log segment with
//! aTail, the entries after the snapshot.
std::error_code
SaveSnapshot(MemberStore& aStore,
             const wire::MemberSnapshot& aSnapshot,
             std::span<const wire::ConsensusEntry> aTail);

//! Replaces the stored state and log by a snapshot received from the leader.
std::error_code
InstallSnapshot(MemberStore& aStore,
                const wire::HardState& aHardState,
                const wire::MemberSnapshot& aSnapshot);

//! Loads the configuration that this host saved last. Returns no error and an
//! empty message when none was saved.
std::error_code
LoadHostMemory(const DataFolder& aFolder, wire::HostMemory& aMemory);
std::error_code
SaveHostMemory(const DataFolder& aFolder, const wire::HostMemory& aMemory);

} // namespace wigeonlb::storage
