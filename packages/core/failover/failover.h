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

//! The control leader's decisions for each group: fence, choose, promote,
//! confirm, and which targets count.
namespace wigeonlb::core::failover {

//! The primary is suspected after a majority of its observers, two at least,
//! has found it unreachable for this long. Shorter loses less time to a killed
//! primary; longer rides out a dropped connection.
constexpr foundation::Duration kSuspicionMs = std::chrono::milliseconds(120);

//! The same while the primary answers the leader on a new connection: only
//! connections that were open may have gone silent.
constexpr foundation::Duration kContradictedSuspicionMs =
  std::chrono::milliseconds(1000);

//! Age up to which an observer's report has a say in a suspicion.
constexpr foundation::Duration kObserverMaxAgeMs =
  std::chrono::milliseconds(1000);

//! Time that the leader alone must find a primary unreachable while no owner
//! reports on it.
constexpr foundation::Duration kLeaderOnlySuspicionMs =
  std::chrono::milliseconds(800);

//! Time that a new leader listens before it gives out a list of live hosts;
//! until then hosts keep the list that they have. A shorter list would make
//! owners of hosts that are none and give up groups that are served.
constexpr foundation::Duration kHostListSettleMs =
  std::chrono::milliseconds(750);

//! Pause between two reads of one target, or two orders of one promotion.
constexpr foundation::Duration kRetryIntervalMs =
  std::chrono::milliseconds(100);

//! Time after which an order or read without an answer counts as failed.
constexpr foundation::Duration kAnswerTimeoutMs =
  std::chrono::milliseconds(400);

//! Wait for the remaining reads after a majority has answered.
constexpr foundation::Duration kReadGraceMs = std::chrono::milliseconds(20);

//! A chosen target that the leader can't read for this long is given up; one
//! that can be read has the group's option `promotion_deadline`.
constexpr foundation::Duration kChosenUnreachableMs =
  std::chrono::milliseconds(300);

//! Pause before a target that failed to lead is tried again while no other one
//! may; doubles with each failure up to kMaxFailedPromotionRetryMs.
constexpr foundation::Duration kFailedPromotionRetryMs =
  std::chrono::milliseconds(500);
constexpr foundation::Duration kMaxFailedPromotionRetryMs =
  std::chrono::milliseconds(8000);

//! Time after which a proposal that was not applied is made again.
constexpr foundation::Duration kProposalRetryMs =
  std::chrono::milliseconds(500);

//! A target at most this far behind the primary may take its place by an
//! operator's request; the rest is caught up once no writes are placed.
constexpr std::uint64_t kPlannedLagBytes = 64ULL * 1024;

//! The same where targets count commits: about what a replica catches up with
//! within kCatchUpWaitMs.
constexpr std::uint64_t kPlannedLagCommits = 32;

//! Wait for a replica to reach a primary that still answers.
constexpr foundation::Duration kCatchUpWaitMs = std::chrono::milliseconds(400);

//! The same in a planned change, where nothing is lost by waiting but time.
constexpr foundation::Duration kPlannedCatchUpWaitMs =
  std::chrono::milliseconds(2000);

//! Pause between two attempts at one planned change.
constexpr foundation::Duration kPlannedRetryIntervalMs =
  std::chrono::milliseconds(10000);

//! Interval of the leader's own reads of a target that is to be admitted, and
//! of a primary that no owner reports on.
constexpr foundation::Duration kPollIntervalMs = std::chrono::milliseconds(250);

//! A target that was neither heard nor reached for this long is forgotten by a
//! group that needs no majority; it is admitted anew when it announces itself.
constexpr foundation::Duration kTargetExpiryMs =
  std::chrono::milliseconds(20000);

//! Interval at which silent hosts and targets are looked for.
constexpr foundation::Duration kExpiryCheckIntervalMs =
  std::chrono::milliseconds(100);

//! Decisions kept for each group.
constexpr std::size_t kMaxDecisions = 32;

//! A decision and its reason, for `show why group`.
struct Decision
{
  foundation::Instant at_;
  std::string text_;
};

//! The leader's own reads of one target.
struct TargetRead
{
  std::uint64_t number_ = 0;                       //!< of the last read ordered
  std::optional<foundation::Instant> requestedAt_; //!< while not answered
  foundation::Instant lastRequestedAt_;
  std::optional<foundation::Instant> failingSince_;
  foundation::Instant lastFailedAt_;
  std::optional<wire::TargetReport> report_;
  foundation::Instant
    reportRequestedAt_; //!< when the report's read was ordered
  foundation::Instant reportReceivedAt_;
  //! Highest synced offset, in bytes, known before the read was ordered.
  std::uint64_t highestKnownOffset_ = 0;
  bool rebuilt_ = false; //!< the report is shorter than what was known
};

//! A promotion that the target refused or did not complete in time, with the
//! log that it had then.
struct FailedPromotion
{
  std::uint64_t incarnation_ = 0;
  std::uint64_t adoptedTerm_ = 0;
  std::uint64_t offset_ = 0; //!< synced, in bytes
  foundation::Instant at_;
  unsigned count_ = 0;
};

//! What the leader is doing about one group. Not replicated: a new leader
//! starts from the group's state and an empty one of these.
struct GroupProgress
{
  //! Until when a step has nothing to do unless the group is heard of.
  foundation::Instant idleUntil_ = foundation::Instant::min();
  std::map<foundation::TargetName, TargetRead> reads_;
  std::uint64_t term_ = 0;        //!< term in force, as last seen
  foundation::Instant termSince_; //!< when it was first seen in force
  //! Since when no grant of the fenced term can be in use; reads for the
  //! choice are ordered after it.
  std::optional<foundation::Instant> releasedAt_;
  //! Since when some target is known to hold every acknowledged write.
  std::optional<foundation::Instant> safeSince_;
  std::optional<foundation::Instant> proposedAt_;
  std::optional<foundation::Instant> fenceProposedAt_;
  foundation::Instant revocationsSentAt_; //!< when revocations were last sent
  std::optional<foundation::Instant> promotionRequestedAt_;
  std::optional<foundation::Instant> promotionSince_;
  std::uint64_t promotionTerm_ = 0; //!< that promotionSince_ is about
  bool promotionAbandoned_ = false;
  bool promotionAccepted_ =
    false; //!< the order was taken by who carries it out
  //! Of the change of primary under way.
  std::map<foundation::TargetName, FailedPromotion> failedPromotions_;
  std::optional<foundation::Instant> granteesProposedAt_;
  foundation::Instant plannedChangeAt_; //!< last attempt at a planned change
  std::string countedNames_;            //!< the counted targets, as last seen
  std::uint64_t countedRevision_ = 0;
  std::optional<foundation::Instant> settledAt_;
  //! First position of the primary read after settledAt_.
  std::optional<foundation::LogPosition> catchUpPosition_;
  std::string
    waitingReason_; //!< why nothing happens now; empty when all is well
  std::deque<Decision> decisions_;
};

//! Each switch turns one guard off. For tests that show that the guard counts.
struct Guards
{
  bool waitForReleases_ = true;
  bool readAfterRelease_ = true;
  bool writtenTerm_ = true;
  bool rebuiltIsNew_ = true;
  bool majorityRead_ = true;
  bool safeChoice_ = true;
  bool keepsMajorityOfSize_ = true;
  bool recordsGrantees_ = true;
};

//! Owners of one group, for the live hosts and a revision of the group.
struct OwnerEntry
{
  std::uint64_t revision_ = 0;
  std::vector<foundation::HostId> owners_;
  std::vector<wire::HostInfo> hosts_; //!< what is known of the owners
  std::size_t ownerCount_ = 0;        //!< number of owners that it should have
};

struct FailoverState
{
  foundation::HostId self_;
  bool leading_ = false;
  std::uint64_t leaderTerm_ = 0;
  foundation::Instant leadingSince_;
  membership::MembershipState membership_;
  grants::GrantTable grants_;
  std::map<foundation::GroupName, GroupProgress> groups_;
  std::map<foundation::GroupName, OwnerEntry> owners_;
  std::map<foundation::HostId, std::vector<foundation::GroupName>> ownedGroups_;
  std::uint64_t ownersHostsVersion_ = 0;
  std::uint64_t ownersRevision_ = 0;
  //! Revision that groups_ has every group of.
  std::optional<std::uint64_t> groupsRevision_;
  std::map<foundation::HostId, std::uint64_t> revisionsInForce_;
  std::uint64_t lastReadNumber_ = 0; //!< numbers the reads
  foundation::Instant
    lastExpiryCheckAt_; //!< when silent hosts were last looked for
  bool stepsIdleGroups_ =
    false; //!< for tests: calm groups are stepped on each tick
  Guards guards_;
};

struct Tick
{};
struct HeartbeatReceived
{
  wire::Heartbeat heartbeat_;
  foundation::Instant receivedAt_;
  //! Until when this host is sure to lead; no grants are given past it.
  foundation::Instant leaderLeaseUntil_;
};
//! NOTE Fed only once every entry of earlier terms has been applied.
struct BecameLeader
{
  std::uint64_t term_ = 0;
};
struct LostLeadership
{};
struct StateApplied
{
  std::vector<foundation::GroupName> groups_;
};
//! Answer to ReadTarget. The report was taken after the read was ordered; no
//! report when the target refused or stayed silent.
struct TargetAnswered
{
  std::uint64_t read_ = 0;
  foundation::GroupName group_;
  foundation::TargetName target_;
  std::optional<wire::TargetReport> report_;
};
//! Answer to PromoteTarget. The report was taken after the promotion; one that
//! doesn't lead has refused.
struct PromotionAnswered
{
  foundation::GroupName group_;
  foundation::TargetName target_;
  std::uint64_t term_ = 0;
  std::optional<wire::TargetReport> report_; //!< none when unreachable
  //! The order was taken, and will be followed later: it isn't given again.
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
//! NOTE The driver adds the configuration part: revision, groups, settings; and
//! the leader hint.
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
//! Idempotent by term: a target that is primary of the term answers again.
//! NOTE The driver reads the status first and promotes on the same connection,
//! and only if the incarnation is the one given and the synced offset is not
//! below startOffset_. A target that came back blank would otherwise lead the
//! new term, and replicas that rewind to it would drop acknowledged writes.
struct PromoteTarget
{
  //! Log index of the choice: no two choices share it, and it rises.
  std::uint64_t fence_ = 0;
  foundation::GroupName group_;
  foundation::TargetName target_;
  std::string address_;
  std::uint64_t term_ = 0;
  std::uint64_t incarnation_ = 0;
  std::uint64_t startOffset_ = 0;
  std::string dialect_; //!< of the target
};
using FailoverAction =
  std::variant<Propose, Reply, SendRevoke, ReadTarget, PromoteTarget>;

//! Takes one event. A Tick is due every 20 to 50 ms while this host leads;
//! StateApplied is fed on every member, so that each knows the longest lease.
void
Step(FailoverState& aState,
     const wire::ControlState& aControl,
     const FailoverEvent& aEvent,
     foundation::Instant aNow,
     std::vector<FailoverAction>& aActions);

//! The last decisions of a group with their reasons, oldest first.
std::vector<Decision>
GetDecisions(const FailoverState& aState, std::string_view aGroup);

//! Why a group waits; empty when it doesn't.
std::string
GetWaitingReason(const FailoverState& aState, std::string_view aGroup);

} // namespace wigeonlb::core::failover
