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

//! Safety rules. Tests disable one at a time to show that it is necessary.
struct Guards
{
  //! State is persisted before any message that depends on it is sent.
  bool persistBeforeAnswer_ = true;
  //! A member that lost its disk does not vote or count towards quorums until
  //! it is readmitted.
  bool recoveringAbstains_ = true;
  //! A host votes for a candidate that adds it whatever it holds itself.
  bool addedVotes_ = true;
};

//! Settings of one member. The default intervals are for a LAN.
struct ConsensusSettings
{
  foundation::HostId self_;
  //! Voters of the initial configuration, including this host if it is one of
  //! them. Empty on a host that may only join an existing cluster.
  std::vector<foundation::HostId> founders_;
  //! Peer addresses of the founders. They are part of the initial
  //! configuration, so that hosts that join later can reach the founders.
  std::map<foundation::HostId, std::string> founderAddresses_;
  foundation::Duration heartbeatInterval_ = std::chrono::milliseconds(80);
  foundation::Duration electionTimeoutMin_ = std::chrono::milliseconds(300);
  foundation::Duration electionTimeoutMax_ = std::chrono::milliseconds(550);
  //! Interval between two rounds of pre-votes, and the range of the random
  //! delay before the first round after a start. A few round-trip times are
  //! enough: a pre-vote neither raises the term nor ends a lease.
  foundation::Duration preVoteInterval_ = std::chrono::milliseconds(60);
  //! Must be shorter than electionTimeoutMin_ by more than the clock drift.
  foundation::Duration leaseLength_ = std::chrono::milliseconds(250);
  std::size_t batchEntries_ = 64;
  std::size_t batchBytes_ = std::size_t{ 128 } * 1024;
  std::size_t snapshotChunkBytes_ = std::size_t{ 64 } * 1024;
  //! Number of applied entries after which a new snapshot is requested, and
  //! their size: an entry may hold a whole configuration. A state that is
  //! larger takes the place of the size, so that most writes are of new
  //! entries.
  std::uint64_t snapshotIntervalEntries_ = 512;
  std::size_t snapshotIntervalBytes_ = std::size_t{ 4 } * 1024 * 1024;
  //! Number and size of the entries before the snapshot that are kept in the
  //! log, so that members that lag slightly do not need a snapshot transfer.
  std::uint64_t retainedEntries_ = 128;
  std::size_t retainedBytes_ = std::size_t{ 1 } * 1024 * 1024;
  std::uint64_t seed_ = 0;
  Guards guards_;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader,
  //! Storage failed; all events are ignored. The driver makes a new state from
  //! the stored one once the storage works again.
  Failed,
};

//! The leader's view of another member.
struct Progress
{
  std::uint64_t match_ = 0;
  std::uint64_t next_ = 1;
  //! Send time of the append or snapshot request that awaits an answer.
  std::optional<foundation::Instant> inFlightSince_;
  //! Send time of the latest request that the member has answered.
  std::optional<foundation::Instant> answeredSentAt_;
  //! Rounds of heartbeats that it has not answered. Unlike a time, this does
  //! not grow while the leader itself is held up.
  int unansweredRounds_ = 0;
  std::uint64_t incarnation_ = 0;
  bool recovering_ = false;
  bool leaving_ = false;
  bool jointQuorums_ = false; //!< it counts quorums of outgoing voters
  //! Log index that a recovering member must reach before it is readmitted.
  std::uint64_t readmitAt_ = 0;
  //! The snapshot that is being sent; null: none. It is sent to its end even if
  //! there is a newer one meanwhile.
  SnapshotPointer snapshot_;
  std::uint64_t snapshotOffset_ = 0;
};

//! A snapshot that is being received.
struct IncomingSnapshot
{
  std::uint64_t lastIndex_ = 0;
  std::uint64_t lastTerm_ = 0;
  //! The leader that sends it, and its term: members serialize equal states
  //! differently, so parts of two leaders don't fit together.
  foundation::HostId from_;
  std::uint64_t leaderTerm_ = 0;
  std::string bytes_;
};

//! State of one consensus member.
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
  foundation::Instant historyQueryDue_;
  foundation::Instant leadingSince_;
  //! Of a leader: its last tick, the send time of the latest request that a
  //! quorum has answered, and for how long it has waited for a later answer
  //! while it was able to handle one.
  foundation::Instant lastLeaderTick_;
  foundation::Instant quorumContact_;
  foundation::Duration quorumSilence_{ 0 };
  std::set<foundation::HostId> votes_;
  std::map<foundation::HostId, Progress> progress_;
  //! Tokens of pending proposals by log index.
  std::map<std::uint64_t, std::uint64_t> proposalTokens_;
  std::optional<IncomingSnapshot> incoming_;
  bool snapshotRequested_ = false;
  //! Founders that reported an empty history, with the time of the report.
  std::map<foundation::HostId, foundation::Instant> foundersWithoutHistory_;
  bool leaving_ = false; //!< this host is to stop
  //! Of a follower: its leader could replace a voter, or is about to.
  bool leaderReplacesVoters_ = false;
  //! The other host that was heard of last as a leader.
  foundation::HostId formerLeader_;
};

// ---------------------------------------------------------------- events

struct Tick
{};
struct MessageReceived
{
  wire::ConsensusMessage message_;
};
//! Appends a record to the log if this member leads. The token is returned in
//! ProposalDecided.
struct Propose
{
  wire::ControlRecord record_;
  std::uint64_t token_ = 0;
};
//! Completion of TakeSnapshot: the snapshot is stored durably.
struct SnapshotSaved
{
  wire::MemberSnapshot snapshot_;
};
//! A Persist, TakeSnapshot or InstallSnapshot action failed.
struct StorageFailed
{};
//! This host is to stop. If it is a voter, another member may take its vote.
struct Leave
{};
using Event = std::
  variant<Tick, MessageReceived, Propose, SnapshotSaved, StorageFailed, Leave>;

// --------------------------------------------------------------- actions

//! Writes and syncs this state before the next action is executed.
struct Persist
{
  wire::HardState hardState_;
  //! Entries from this index on are discarded; zero: none.
  std::uint64_t truncateFrom_ = 0;
  std::vector<wire::ConsensusEntry> entries_;
};
struct SendMessage
{
  wire::ConsensusMessage message_;
};
//! Applies a committed entry. Each entry is delivered once and in order.
//! NOTE After a restart, the entries after the snapshot are delivered again.
struct Apply
{
  wire::ConsensusEntry entry_;
};
//! Saves a snapshot that consists of the current control state and these
//! fields. The driver then feeds SnapshotSaved.
struct TakeSnapshot
{
  std::uint64_t lastIndex_ = 0;
  std::uint64_t lastTerm_ = 0;
  wire::MemberChange members_;
};
//! Replaces the control state and the log with the snapshot and syncs them.
struct InstallSnapshot
{
  wire::MemberSnapshot snapshot_;
  wire::HardState hardState_;
};
//! The member's role, term, leader or recovery status changed.
struct LeadershipChanged
{
  Role role_ = Role::Follower;
  std::uint64_t term_ = 0;
  foundation::HostId leader_; //!< empty if unknown
  bool recovering_ = false;
};
enum class ProposalOutcome
{
  Committed,
  NotLeader, //!< nothing was appended to the log
  Refused,   //!< the membership change is not valid
  Unknown,   //!< leadership ended first; the entry may still be committed
};
//! Why a membership change may not be proposed, in the order of the checks that
//! a learner passes on its way to becoming a voter.
enum class ChangeRefusal
{
  None,
  EarlierUncommitted, //!< the change before, or this term, is not committed
  NotOneStep,
  EarlierVersion, //!< a voter does not count quorums of outgoing voters
  NoLearner,
  AddedHostSilent,
  AddedHostBehind,
  NoQuorum, //!< too few of the new voters count and have answered recently
};

//! Outcome of a Propose. If the record was committed, this action comes after
//! the Apply action of its index.
struct ProposalDecided
{
  std::uint64_t token_ = 0;
  ProposalOutcome outcome_ = ProposalOutcome::NotLeader;
  std::uint64_t index_ = 0; //!< log index; zero unless committed
  foundation::HostId leaderHint_;
};
using Action = std::variant<Persist,
                            SendMessage,
                            Apply,
                            TakeSnapshot,
                            InstallSnapshot,
                            LeadershipChanged,
                            ProposalDecided>;

//! Creates the state of a member from the contents of its data folder. A member
//! without a hard state has a blank disk: it starts as recovering, with a
//! random incarnation.
//! NOTE The seed must differ between two starts of one host. Otherwise a host
//! that loses its disk twice could get the same incarnation again.
ConsensusState
MakeConsensusState(const ConsensusSettings& aSettings,
                   const std::optional<wire::HardState>& aHardState,
                   const wire::MemberSnapshot& aSnapshot,
                   std::span<const wire::ConsensusEntry> aEntries,
                   foundation::Instant aNow);

//! Handles one event. The driver must execute the actions in order and complete
//! each Persist, TakeSnapshot and InstallSnapshot before the next action. If
//! one fails, the driver drops the remaining actions and feeds StorageFailed.
void
Step(ConsensusState& aState,
     const Event& aEvent,
     foundation::Instant aNow,
     std::vector<Action>& aActions);

//! Time at which the next Tick is needed: for a heartbeat, an election, the
//! timeout of a leader or a query of the other founders' history.
//! Instant::max() if there is none.
foundation::Instant
NextDue(const ConsensusState& aState);

//! True while no other member can have become leader: a quorum has answered
//! requests that were sent less than leaseLength_ ago, and an entry of the
//! current term is committed.
bool
HoldsLease(const ConsensusState& aState, foundation::Instant aNow);

//! Time until which HoldsLease stays true without further answers. Instant{} if
//! there is no lease; Instant::max() for a leader that is the only voter.
foundation::Instant
GetLeaseEnd(const ConsensusState& aState);

//! True if this member is the leader. Until the first entry of its term is
//! committed, it may not have applied all entries of earlier leaders.
bool
IsLeader(const ConsensusState& aState);

//! True if the member has lost its disk, or starts for the first time, and may
//! not vote or count towards quorums yet.
bool
IsRecovering(const ConsensusState& aState);

//! True if this host may stop without weakening the group: it is no voter, or
//! no learner is ready to take its vote.
bool
MayLeave(const ConsensusState& aState, foundation::Instant aNow);

//! The members in force according to this member's log; the founders until the
//! first membership change.
const wire::MemberChange&
Members(const ConsensusState& aState);

} // namespace wigeonlb::core::consensus
