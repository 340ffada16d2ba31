#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "core/consensus/replicatedlog.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "storage.pb.h"

namespace wigeonlb::core::consensus {

//! Protections that tests switch off to show that each is needed.
struct Guards
{
  //! State is persisted before an answer that rests on it is sent.
  bool persistBeforeAnswer_ = true;
  //! A member that lost its disk neither votes nor counts.
  bool recoveringAbstains_ = true;
};

//! Tunable intervals and sizes of one member. The defaults are for a LAN.
struct ConsensusSettings
{
  foundation::HostId self_;
  //! Voters of the first configuration, this host included when it is one.
  //! Empty on a host that may only join.
  std::vector<foundation::HostId> founders_;
  //! Peer addresses of the founders, for whoever learns of them from the log.
  std::map<foundation::HostId, std::string> founderAddresses_;
  foundation::Duration heartbeatInterval_ = std::chrono::milliseconds(80);
  foundation::Duration electionTimeoutMin_ = std::chrono::milliseconds(300);
  foundation::Duration electionTimeoutMax_ = std::chrono::milliseconds(550);
  //! Between two rounds of pre-votes, and the spread of the first of them after
  //! a start; a few round trips. A pre-vote raises no term and ends no lease.
  foundation::Duration preVoteInterval_ = std::chrono::milliseconds(60);
  //! Shorter than electionTimeoutMin_ by more than the clocks' drift.
  foundation::Duration leaseLength_ = std::chrono::milliseconds(250);
  std::size_t batchEntries_ = 64;
  std::size_t batchBytes_ = std::size_t{ 128 } * 1024;
  std::size_t snapshotChunkBytes_ = std::size_t{ 64 } * 1024;
  //! A snapshot is asked for when this many entries were applied since the
  //! last one.
  std::uint64_t snapshotIntervalEntries_ = 512;
  //! Entries before the snapshot that stay for members that lag a little.
  std::uint64_t retainedEntries_ = 128;
  std::uint64_t seed_ = 0;
  Guards guards_;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  Failed, //!< its storage failed; it takes part in nothing until restarted
};

//! What the leader knows of another member.
struct Progress
{
  std::uint64_t match_ = 0;
  std::uint64_t next_ = 1;
  //! Since when an append or snapshot request has been without an answer.
  std::optional<foundation::Instant> inFlightSince_;
  //! Send time of the newest request that the member has answered.
  std::optional<foundation::Instant> answeredSentAt_;
  std::uint64_t incarnation_ = 0;
  bool recovering_ = false;
  //! Index that a recovering member must reach before it is readmitted.
  std::uint64_t readmitAt_ = 0;
  //! Snapshot in transfer; zero when there is none.
  std::uint64_t snapshotIndex_ = 0;
  std::uint64_t snapshotOffset_ = 0;
};

//! A snapshot that is being received.
struct IncomingSnapshot
{
  std::uint64_t lastIndex_ = 0;
  std::uint64_t lastTerm_ = 0;
  std::string bytes_;
};

//! One member's part in the replicated log.
struct ConsensusState
{
  ConsensusSettings settings_;
  std::mt19937_64 random_;
  Role role_ = Role::Follower;
  wire::HardState hardState_;
  ReplicatedLog log_;
  std::uint64_t commitIndex_ = 0;
  foundation::HostId leader_;
  foundation::Instant lastLeaderContact_;
  foundation::Instant electionDue_;
  foundation::Instant heartbeatDue_;
  foundation::Instant pastQueryDue_;
  foundation::Instant leadingSince_;
  std::set<foundation::HostId> votes_;
  std::map<foundation::HostId, Progress> progress_;
  std::map<std::uint64_t, std::uint64_t> proposalTokens_; //!< by log index
  std::optional<IncomingSnapshot> incoming_;
  bool snapshotRequested_ = false;
  //! Founders that have no past, and when they said so.
  std::map<foundation::HostId, foundation::Instant> foundersWithoutHistory_;
};

// ---------------------------------------------------------------- events

struct Tick
{};
struct MessageReceived
{
  wire::ConsensusMessage message_;
};
//! Asks the leader to add a record. The token comes back in ProposalDecided.
struct Propose
{
  wire::ControlRecord record_;
  std::uint64_t token_ = 0;
};
//! The answer to TakeSnapshot: the snapshot is on the disk.
struct SnapshotSaved
{
  wire::MemberSnapshot snapshot_;
};
//! A Persist, TakeSnapshot or InstallSnapshot failed.
struct StorageFailed
{};
using Event =
  std::variant<Tick, MessageReceived, Propose, SnapshotSaved, StorageFailed>;

// --------------------------------------------------------------- actions

//! Write and sync before the next action.
struct Persist
{
  wire::HardState hardState_;
  //! Entries at and after this index are void; zero: none.
  std::uint64_t truncateFrom_ = 0;
  std::vector<wire::ConsensusEntry> entries_;
};
struct SendMessage
{
  wire::ConsensusMessage message_;
};
//! Apply a committed entry; entries come once each and in order.
//! NOTE After a restart they come again from the snapshot on.
struct Apply
{
  wire::ConsensusEntry entry_;
};
//! Save the control state as of these fields, then feed SnapshotSaved.
struct TakeSnapshot
{
  std::uint64_t lastIndex_ = 0;
  std::uint64_t lastTerm_ = 0;
  wire::MemberChange members_;
};
//! Replace control state and log by the snapshot, synced.
struct InstallSnapshot
{
  wire::MemberSnapshot snapshot_;
  wire::HardState hardState_;
};
//! The member's role or the leader that it follows has changed.
struct LeadershipChanged
{
  Role role_ = Role::Follower;
  std::uint64_t term_ = 0;
  foundation::HostId leader_; //!< empty when it is not known
  bool recovering_ = false;
};
enum class ProposalOutcome
{
  Committed,
  NotLeader, //!< nothing was logged
  Refused,   //!< a change of members that is not a single valid step
  Unknown,   //!< leadership was lost first; it may still be committed
};
//! Follows the Apply of the same index.
struct ProposalDecided
{
  std::uint64_t token_ = 0;
  ProposalOutcome outcome_ = ProposalOutcome::NotLeader;
  std::uint64_t index_ = 0; //!< of a committed one
  foundation::HostId leaderHint_;
};
using Action = std::variant<Persist,
                            SendMessage,
                            Apply,
                            TakeSnapshot,
                            InstallSnapshot,
                            LeadershipChanged,
                            ProposalDecided>;

//! A member as it starts, with what its data folder holds. A member without
//! a hard state has a blank disk: it starts recovering, with an incarnation
//! drawn from the generator.
//! NOTE The seed must differ between two starts of one host, or a disk lost
//! twice could come back with the same incarnation.
ConsensusState
MakeConsensusState(const ConsensusSettings& aSettings,
                   const std::optional<wire::HardState>& aHardState,
                   const wire::MemberSnapshot& aSnapshot,
                   std::span<const wire::ConsensusEntry> aEntries,
                   foundation::Instant aNow);

//! Handles one event. The driver executes the actions in order and finishes
//! each Persist, TakeSnapshot and InstallSnapshot before the next one; if one
//! fails it drops the actions behind it and feeds StorageFailed.
void
Step(ConsensusState& aState,
     const Event& aEvent,
     foundation::Instant aNow,
     std::vector<Action>& aActions);

//! When the next Tick has something to do: a broadcast, an election or a
//! question for the past of other founders.
foundation::Instant
NextDue(const ConsensusState& aState);

//! True while no other member can have become leader: a quorum answered a
//! request that was sent less than the lease length ago, and an entry of this
//! term is committed.
bool
HoldsLease(const ConsensusState& aState, foundation::Instant aNow);

//! Until when HoldsLease stays true without further answers; Instant{} when it
//! is not held, and Instant::max() for a leader that is the only voter.
foundation::Instant
GetLeaseEnd(const ConsensusState& aState);

//! True when this member leads; its log may be behind until the first entry
//! of its term is committed.
bool
IsLeader(const ConsensusState& aState);

//! True when the member neither votes nor counts after the loss of its disk.
bool
IsRecovering(const ConsensusState& aState);

//! The members in force here, the founders before the first change.
const wire::MemberChange&
Members(const ConsensusState& aState);

} // namespace wigeonlb::core::consensus
