#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "core/grants/granttable.h"
#include "core/membership/membership.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

//! The control leader's decisions for each group: when to fence a term, which
//! target to choose, promote and confirm as primary, and which targets are
//! counted for majorities.
//! This is a state machine without I/O: Step() handles an event and returns
//! actions, which the driver, the event loop of the host, executes.
//! A grant lets a host serve a group under one term until its lease ends. A
//! fence ends the term: no new grants are issued for it.
namespace wigeonlb::core::failover {

//! The term is fenced when a majority of the primary's observers, at least two,
//! has found it unreachable for this long. A shorter time replaces a killed
//! primary sooner; a longer one tolerates a dropped connection.
constexpr foundation::Duration kSuspicionMs = std::chrono::milliseconds(120);

//! Replaces kSuspicionMs while the primary answers the leader on a new
//! connection: possibly only the connections that were already open have
//! stopped responding.
constexpr foundation::Duration kContradictedSuspicionMs =
  std::chrono::milliseconds(1000);

//! Maximum age of an observer's report that is used to suspect a primary.
constexpr foundation::Duration kObserverMaxAgeMs =
  std::chrono::milliseconds(1000);

//! Time after which the leader suspects a primary by its own reads only, when
//! no owner reports on it.
constexpr foundation::Duration kLeaderOnlySuspicionMs =
  std::chrono::milliseconds(800);

//! Time for which a new leader collects heartbeats before it sends a list of
//! live hosts; until then hosts keep the list that they have. With an
//! incomplete list, hosts would take ownership of groups that they do not own,
//! and abandon groups that they serve.
constexpr foundation::Duration kHostListSettleMs =
  std::chrono::milliseconds(750);

//! Interval between two reads of one target, or two requests for one promotion.
constexpr foundation::Duration kRetryIntervalMs =
  std::chrono::milliseconds(100);

//! Time after which a request or read without an answer is treated as failed.
constexpr foundation::Duration kAnswerTimeoutMs =
  std::chrono::milliseconds(400);

//! How long to wait for the remaining reads after a majority has answered.
constexpr foundation::Duration kReadGraceMs = std::chrono::milliseconds(20);

//! The promotion of a chosen target is abandoned when the leader cannot read
//! the target for this long. While the target can be read, the group's option
//! `promotion_deadline` applies.
constexpr foundation::Duration kChosenUnreachableMs =
  std::chrono::milliseconds(300);

//! Delay before a target whose promotion failed is tried again when no other
//! target is safe; doubles with each failure up to kMaxFailedPromotionRetryMs.
constexpr foundation::Duration kFailedPromotionRetryMs =
  std::chrono::milliseconds(500);
constexpr foundation::Duration kMaxFailedPromotionRetryMs =
  std::chrono::milliseconds(8000);

//! Time after which a record that was proposed but not applied is proposed
//! again.
constexpr foundation::Duration kProposalRetryMs =
  std::chrono::milliseconds(500);

//! Maximum lag of a target that replaces the primary in a planned change; it
//! catches up with the rest once no more writes are started.
constexpr std::uint64_t kPlannedLagBytes = 64ULL * 1024;

//! Maximum lag for targets whose log offsets count commits: about what a
//! replica can catch up with within kCatchUpWaitMs.
constexpr std::uint64_t kPlannedLagCommits = 32;

//! How long the choice of a primary waits for a replica to reach the position
//! of an old primary that still answers.
constexpr foundation::Duration kCatchUpWaitMs = std::chrono::milliseconds(400);

//! Replaces kCatchUpWaitMs in a planned change. Longer, because no failure
//! requires a quick choice.
constexpr foundation::Duration kPlannedCatchUpWaitMs =
  std::chrono::milliseconds(2000);

//! Interval between two attempts at one planned change.
constexpr foundation::Duration kPlannedRetryIntervalMs =
  std::chrono::milliseconds(10000);

//! Interval at which the leader reads a target that is to be admitted, and a
//! primary that no owner reports on.
constexpr foundation::Duration kPollIntervalMs = std::chrono::milliseconds(250);

//! A group without majority acknowledgement removes a target that has neither
//! announced itself nor been reachable for this long. The target is admitted
//! again when it announces itself.
constexpr foundation::Duration kTargetExpiryMs =
  std::chrono::milliseconds(20000);

//! Interval of the check for unresponsive hosts and targets.
constexpr foundation::Duration kExpiryCheckIntervalMs =
  std::chrono::milliseconds(100);

//! Number of decisions kept for each group; older ones are discarded.
constexpr std::size_t kMaxDecisions = 32;

//! A decision and its reason, for `show why group`.
struct Decision
{
  foundation::Instant at_;
  std::string text_;
};

//! The leader's own reads of one target's status.
struct TargetRead
{
  std::uint64_t number_ = 0; //!< of the last read requested
  std::optional<foundation::Instant> requestedAt_; //!< while outstanding
  foundation::Instant lastRequestedAt_;
  std::optional<foundation::Instant> failingSince_;
  foundation::Instant lastFailedAt_;
  std::optional<wire::TargetReport> report_;
  foundation::Instant reportRequestedAt_; //!< when report_ was requested
  foundation::Instant reportReceivedAt_;
  //! Highest synced offset, in bytes or commits, known before the read was
  //! requested.
  std::uint64_t highestKnownOffset_ = 0;
  bool rebuilt_ = false; //!< report_ is below highestKnownOffset_
};

//! A promotion that the target refused or did not complete in time, with the
//! log position that it had then.
struct FailedPromotion
{
  std::uint64_t incarnation_ = 0;
  std::uint64_t adoptedTerm_ = 0;
  std::uint64_t offset_ = 0; //!< synced, in bytes or commits
  foundation::Instant at_;
  unsigned count_ = 0;
};

//! The leader's volatile state for one group. It is not replicated: a new
//! leader starts from the group's replicated state and an empty GroupProgress.
struct GroupProgress
{
  //! The group needs no step before this time, unless a report or an
  //! announcement that affects it arrives earlier.
  foundation::Instant idleUntil_ = foundation::Instant::min();
  std::map<foundation::TargetName, TargetRead> reads_;
  std::uint64_t term_ = 0;        //!< term in force at the last step
  foundation::Instant termSince_; //!< when it was first seen in force
  //! Since when no grant of the fenced term can be in use. The choice of a
  //! primary uses only reads that were requested after it.
  std::optional<foundation::Instant> releasedAt_;
  //! Since when at least one target is known to hold every acknowledged write.
  std::optional<foundation::Instant> safeSince_;
  //! Since when the reads show the primary of the fenced term as leading it.
  std::optional<foundation::Instant> primaryLeadsSince_;
  std::optional<foundation::Instant> proposedAt_;
  std::optional<foundation::Instant> fenceProposedAt_;
  foundation::Instant revocationsSentAt_; //!< when revocations were last sent
  std::optional<foundation::Instant> promotionRequestedAt_;
  std::optional<foundation::Instant> promotionSince_;
  std::uint64_t promotionTerm_ = 0; //!< term that promotionSince_ refers to
  bool promotionAbandoned_ = false;
  //! The promotion agent has accepted the request and completes it later.
  bool promotionAccepted_ = false;
  //! By target, during the current change of primary.
  std::map<foundation::TargetName, FailedPromotion> failedPromotions_;
  std::optional<foundation::Instant> granteesProposedAt_;
  foundation::Instant plannedChangeAt_; //!< last attempt at a planned change
  std::string countedNames_;          //!< the counted targets at the last step
  std::uint64_t countedRevision_ = 0; //!< revision that changed them
  //! Since when all holders of grants use the current counted targets.
  std::optional<foundation::Instant> settledAt_;
  //! First position of the primary that was read after settledAt_.
  std::optional<foundation::LogPosition> catchUpPosition_;
  std::string waitingReason_; //!< empty when the group waits for nothing
  std::deque<Decision> decisions_;
};

//! Safety rules that tests switch off one at a time, to show that each one is
//! needed. All are on in production.
struct Guards
{
  //! No primary is chosen until all grants of the fenced term have ended.
  bool waitForReleases_ = true;
  //! A choice uses only reads requested after the grants have ended.
  bool readAfterRelease_ = true;
  //! Targets are ranked by the term that their log belongs to; off: by the term
  //! that they have adopted.
  bool writtenTerm_ = true;
  //! A rebuilt target does not count for a majority.
  bool rebuiltIsNew_ = true;
  //! A choice needs reads from a majority; off: from one target.
  bool majorityRead_ = true;
  //! The chosen target holds at least as much as a majority.
  bool safeChoice_ = true;
  //! At least a majority of the group's size stays counted.
  bool keepsMajorityOfSize_ = true;
  //! Grantees are committed before their first grant.
  bool recordsGrantees_ = true;
  //! No two leaders request promotions with the same fence.
  bool fencesByLeader_ = true;
  //! Promotions are requested only while the leader's lease holds.
  bool promotesUnderLease_ = true;
  //! What the hosts have acknowledged bounds what may be promoted.
  bool acknowledgedBounds_ = true;
  //! A primary that answers is replaced only by a target that reaches its end.
  bool primaryBounds_ = true;
  //! A fenced term goes on under its primary when no target may replace it.
  bool resumesTerm_ = true;
};

//! Owners of one group, computed from the live hosts and the group's revision.
struct OwnerEntry
{
  std::uint64_t revision_ = 0;
  std::vector<foundation::HostId> owners_;
  std::vector<wire::HostInfo> hosts_; //!< of the owners
  std::size_t ownerCount_ = 0;        //!< desired number of owners
};

struct FailoverState
{
  foundation::HostId self_;
  bool leading_ = false;
  std::uint64_t leaderTerm_ = 0;
  std::uint64_t leaderIndex_ = 0; //!< firstIndex_ of BecameLeader
  foundation::Instant leadingSince_;
  //! Until when this host is certain to lead; no promotions are requested after
  //! it.
  foundation::Instant leaderLeaseUntil_;
  membership::MembershipState membership_;
  grants::GrantTable grants_;
  std::map<foundation::GroupName, GroupProgress> groups_;
  std::map<foundation::GroupName, OwnerEntry> owners_;
  std::map<foundation::HostId, std::vector<foundation::GroupName>> ownedGroups_;
  std::uint64_t ownersHostsVersion_ = 0;
  std::uint64_t ownersRevision_ = 0;
  //! Revision whose groups have all been added to groups_.
  std::optional<std::uint64_t> groupsRevision_;
  std::map<foundation::HostId, std::uint64_t> revisionsInForce_;
  std::uint64_t lastReadNumber_ = 0;
  foundation::Instant lastExpiryCheckAt_;
  bool stepsIdleGroups_ = false; //!< for tests: each tick steps idle groups too
  Guards guards_;
};

struct Tick
{
  //! Until when this host is certain to lead; no promotions are requested after
  //! it.
  foundation::Instant leaderLeaseUntil_;
};
struct HeartbeatReceived
{
  wire::Heartbeat heartbeat_;
  foundation::Instant receivedAt_;
  //! Until when this host is certain to lead; no grants are issued after it.
  foundation::Instant leaderLeaseUntil_;
};
//! This host leads the control members in term_.
//! NOTE Must be passed to Step() only after every log entry of earlier terms
//! was applied.
struct BecameLeader
{
  std::uint64_t term_ = 0;
  //! Log index of the first entry of the term. Every choice that an earlier
  //! leader could act on has a lower index.
  std::uint64_t firstIndex_ = 0;
};
struct LostLeadership
{};
//! Committed records that change these groups were applied to the control
//! state.
struct StateApplied
{
  std::vector<foundation::GroupName> groups_;
};
//! Answer to ReadTarget. The report was made after the read was requested. It
//! is empty when the target refused or did not respond.
struct TargetAnswered
{
  std::uint64_t read_ = 0;
  foundation::GroupName group_;
  foundation::TargetName target_;
  std::optional<wire::TargetReport> report_;
};
//! Answer to PromoteTarget. The report was made after the promotion; a target
//! whose report does not show it as primary has refused.
struct PromotionAnswered
{
  foundation::GroupName group_;
  foundation::TargetName target_;
  std::uint64_t term_ = 0;
  std::uint64_t fence_ = 0;                  //!< of the request
  std::optional<wire::TargetReport> report_; //!< empty when unreachable
  //! The request was accepted and is completed later; it is not repeated.
  bool accepted_ = false;
};
using FailoverEvent = std::variant<Tick,
                                   HeartbeatReceived,
                                   BecameLeader,
                                   LostLeadership,
                                   StateApplied,
                                   TargetAnswered,
                                   PromotionAnswered>;

struct Propose
{
  wire::ControlRecord record_;
};
//! NOTE The driver adds the configuration (revision, groups, settings) and the
//! leader hint.
struct Reply
{
  foundation::HostId host_;
  wire::HeartbeatReply reply_;
};
struct SendRevoke
{
  foundation::HostId host_;
  wire::RevokeGrant revoke_;
};
struct ReadTarget
{
  std::uint64_t read_ = 0; //!< echoed by TargetAnswered
  foundation::GroupName group_;
  foundation::TargetName target_;
  std::string address_;
  std::uint64_t incarnation_ = 0;
};
//! Idempotent by term: a target that already is primary of the term answers in
//! the same way again.
//! NOTE The driver first reads the status, and promotes on the same connection
//! only if the incarnation equals incarnation_ and the synced offset is not
//! below startOffset_. Otherwise a target that was restarted without its data
//! would lead the new term, and replicas that rewind to it would drop
//! acknowledged writes.
struct PromoteTarget
{
  //! Increases with each choice and with each leader, so that no two leaders
  //! ever use the same fence.
  std::uint64_t fence_ = 0;
  foundation::GroupName group_;
  foundation::TargetName target_;
  std::string address_;
  std::uint64_t term_ = 0;
  std::uint64_t incarnation_ = 0;
  std::uint64_t startOffset_ = 0;
  std::string dialect_; //!< of the target
  std::uint64_t leaderTerm_ = 0;
  //! Log index of the choice. An earlier leader made the choice if it is below
  //! the leader's first entry.
  std::uint64_t choiceIndex_ = 0;
  bool chosenByEarlierLeader_ = false;
  //! Until when this host is certain to lead.
  foundation::Instant leaseUntil_;
};
using FailoverAction =
  std::variant<Propose, Reply, SendRevoke, ReadTarget, PromoteTarget>;

//! Handles one event and appends the resulting actions to aActions. A Tick is
//! due every 20 to 50 ms while this host leads. StateApplied is passed on every
//! control member, so that each one knows the longest lease.
void
Step(FailoverState& aState,
     const wire::ControlState& aControl,
     const FailoverEvent& aEvent,
     foundation::Instant aNow,
     std::vector<FailoverAction>& aActions);

//! The last decisions of a group with their reasons, oldest first.
std::vector<Decision>
GetDecisions(const FailoverState& aState, std::string_view aGroup);

//! Why a group waits; empty when it does not, or when the group is unknown.
std::string
GetWaitingReason(const FailoverState& aState, std::string_view aGroup);

} // namespace wigeonlb::core::failover
