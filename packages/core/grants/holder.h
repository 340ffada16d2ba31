#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "core/grants/holderrecord.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "foundation/termepoch.h"

namespace wigeonlb::core::grants {

//! Interval of heartbeats in normal operation.
constexpr foundation::Duration kHeartbeatIntervalMs =
  std::chrono::milliseconds(250);

//! Shortest interval between two heartbeats, and the interval of a holder that
//! waits for the grant of a new term.
constexpr foundation::Duration kUrgentIntervalMs =
  std::chrono::milliseconds(40);

//! How long a holder that lost its grant sends heartbeats at the urgent
//! interval.
constexpr foundation::Duration kUrgentPeriodMs =
  std::chrono::milliseconds(5000);

//! Time without a reply from the followed control member after which the holder
//! turns to the next member.
constexpr foundation::Duration kMemberTimeoutMs =
  std::chrono::milliseconds(400);

//! A follower may still name a leader that has just stopped responding to this
//! host. For this long such a hint is ignored, and the follower is requested to
//! relay heartbeats to the leader.
constexpr foundation::Duration kIgnoreHintsPeriodMs =
  std::chrono::milliseconds(1000);

//! Interval of an owner whose grant is pending because a new leader waits for
//! the heartbeats of other hosts, or for its log: a few round trips.
constexpr foundation::Duration kPendingIntervalMs =
  std::chrono::milliseconds(60);

//! Delay before the next heartbeat to a follower whose hint is ignored.
constexpr foundation::Duration kHintRetryMs = std::chrono::milliseconds(100);

//! Upper bound of the back-off between heartbeats while no member responds.
constexpr foundation::Duration kMaxBackOffMs = std::chrono::milliseconds(1000);

//! Back-off from which on each member is asked, rather than the followed one
//! only. It is reached when four members in turn have not responded: most of
//! the known members may have been replaced since this host last heard one.
constexpr foundation::Duration kAskAllBackOffMs =
  std::chrono::milliseconds(320);

//! So many members are asked in turn at any back-off: that takes less than the
//! time within which a change has to be in force everywhere.
constexpr std::size_t kMembersInTurn = 2;

//! So many hosts that are no members are asked at once for the members that
//! they know, when no member responds.
constexpr std::size_t kOtherHostsAsked = 3;

//! Bound on the senders that are kept. The first ones stay: they are needed
//! only until a leader has sent the list of live hosts.
constexpr std::size_t kMaxSenders = 64;

//! How long transactions in flight may continue after a revocation.
constexpr foundation::Duration kReleaseDrainMs = std::chrono::milliseconds(150);

//! A grant that this host holds.
struct HeldGrant
{
  wire::Grant grant_;
  foundation::Instant expires_;
  //! Connections not closed yet. Relevant only if more than the grant's share.
  std::uint32_t shareInUse_ = 0;
  bool closed_ = false;  //!< all connections are closed and stay closed
  bool stopped_ = false; //!< accepts no new writes, drains
  bool revoked_ = false; //!< never used again after the drain
  foundation::Instant releaseBy_;
};

//! A host's grants, and its communication with the control members.
struct HolderState
{
  wire::HostInfo self_;
  std::vector<foundation::HostId> members_;
  //! Log index of the change that set members_.
  std::uint64_t membersIndex_ = 0;
  //! Index into members_ of the one that receives the heartbeats.
  std::size_t followed_ = 0;
  //! Index into members_ of the one that timed out last.
  std::size_t unresponsiveMember_ = 0;
  //! Until then, hints to the unresponsive member are ignored.
  foundation::Instant ignoreHintsUntil_;
  //! Until then, members are requested to relay heartbeats to the leader.
  foundation::Instant relayUntil_;
  std::uint64_t sequence_ = 0;
  //! Sequence of the newest reply that was accepted from a leader.
  std::uint64_t lastReply_ = 0;
  bool sendHolderLists_ = false; //!< a new leader has requested holders_
  std::uint64_t revision_ = 0;   //!< in force, as RevisionInForce reported
  std::uint64_t hostsVersion_ = 0;
  std::map<foundation::HostId, wire::HostInfo> hosts_; //!< at hostsVersion_
  std::map<foundation::GroupName, HeldGrant> grants_;
  //! Open connections of groups without a grant, without the probe connection.
  std::map<foundation::GroupName, std::uint32_t> leftoverConnections_;
  //! Holders of the owned groups, as last received from a leader.
  std::map<foundation::GroupName, wire::GroupHolders> holders_;
  //! Highest term that was revoked or released; never used again.
  std::map<foundation::GroupName, foundation::TermEpoch> endedTerms_;
  //! Releases that no leader has acknowledged yet, by group and term, with the
  //! sequence of the first heartbeat that carried them; 0: not sent yet.
  std::map<std::pair<foundation::GroupName, foundation::TermEpoch>,
           std::uint64_t>
    releases_;
  std::map<std::pair<foundation::GroupName, foundation::TargetName>,
           std::pair<wire::TargetReport, foundation::Instant>>
    reports_;
  std::map<std::pair<foundation::GroupName, foundation::TargetName>,
           std::pair<wire::Announcement, std::uint64_t>>
    announcements_; //!< not acknowledged yet; sequence as in releases_
  //! What this host has acknowledged, in the last term of each group.
  std::map<foundation::GroupName, wire::AcknowledgedWrites> acknowledged_;
  foundation::Instant lastSent_;
  foundation::Instant nextHeartbeat_;
  foundation::Instant lastContact_;
  foundation::Instant urgentUntil_;
  foundation::Duration backOff_{ 0 };
  bool askAll_ = false; //!< the next heartbeat goes to all members
  //! The next heartbeat also goes to some hosts that are no members.
  bool askOthers_ = false;
  //! Hosts unknown until they sent this one a heartbeat: they may know members.
  std::set<foundation::HostId> senders_;
  std::mt19937_64 random_;
  //! Disables the check for the end of the lease; for tests that show that it
  //! is needed.
  bool ignoreLeaseEnd_ = false;
};

struct Tick
{};
struct ReplyReceived
{
  wire::HeartbeatReply reply_;
};
struct RevokeReceived
{
  wire::RevokeGrant revoke_;
};
//! Replaces the reports of the targets that it contains. The age of a report
//! refers to the time of this event.
struct ReportsChanged
{
  std::vector<wire::TargetReport> reports_;
};
struct AnnouncementReceived
{
  wire::Announcement announcement_;
};
//! What this host has acknowledged in a term of a group.
struct WritesAcknowledged
{
  wire::AcknowledgedWrites writes_;
};
//! No work is in flight any more under a grant that was stopped, or that the
//! host releases because it shuts down.
struct DrainedForRelease
{
  foundation::GroupName group_;
  foundation::TermEpoch term_;
};
//! The largest number of connections of a group to any one target, without the
//! probe connection. 0 if no connection is open, not even the probe connection.
struct ShareInUse
{
  foundation::GroupName group_;
  std::uint32_t connections_ = 0;
};
//! The configuration revision that is in force on this host.
struct RevisionInForce
{
  std::uint64_t revision_ = 0;
};
//! A control member has sent the current list of control members. The holder
//! keeps following its member if that is on the list.
struct MembersChanged
{
  std::vector<foundation::HostId> members_;
  std::uint64_t index_ = 0; //!< log index of the change, for heartbeats
};
//! Another host has sent this one a heartbeat.
struct SenderHeard
{
  foundation::HostId host_;
};
//! The host is shutting down. Its grants remain in use until DrainedForRelease.
struct DrainingStarted
{};
using HolderEvent = std::variant<Tick,
                                 ReplyReceived,
                                 RevokeReceived,
                                 ReportsChanged,
                                 AnnouncementReceived,
                                 WritesAcknowledged,
                                 DrainedForRelease,
                                 ShareInUse,
                                 RevisionInForce,
                                 MembersChanged,
                                 SenderHeard,
                                 DrainingStarted>;

struct SendHeartbeat
{
  foundation::HostId member_;
  wire::Heartbeat heartbeat_;
};
//! The grant of a group is new or renewed, or has ended if grant_ is empty.
struct GrantChanged
{
  foundation::GroupName group_;
  std::optional<wire::Grant> grant_;
  foundation::Instant expires_;
  //! Holders of the group whose lease has ended and that have sent no heartbeat
  //! since, as the leader reported with the grant.
  std::vector<HolderKey> ended_ = {};
};
//! Start no new writes under this term; report DrainedForRelease when drained.
struct StopNewWrites
{
  foundation::GroupName group_;
  std::uint64_t term_ = 0;
  foundation::Instant releaseBy_; //!< deadline for writes in flight
  //! If false, the grant was only not renewed and may be issued again.
  bool revoked_ = false;
  std::uint64_t epoch_ = 0; //!< of the term
};
//! Apply the configuration in the reply, then report RevisionInForce.
struct ConfigurationReceived
{
  wire::HeartbeatReply reply_;
};
struct HostsChanged
{
  std::vector<wire::HostInfo> hosts_;
};
using HolderAction = std::variant<SendHeartbeat,
                                  GrantChanged,
                                  StopNewWrites,
                                  ConfigurationReceived,
                                  HostsChanged>;

//! Makes a holder that tries the members in the order of the list, starting at
//! one that the seed selects.
HolderState
MakeHolder(wire::HostInfo aSelf,
           std::vector<foundation::HostId> aMembers,
           std::uint64_t aSeed);

//! Processes one event and appends the resulting actions. A Tick is due at
//! NextDue.
void
Step(HolderState& aState,
     const HolderEvent& aEvent,
     foundation::Instant aNow,
     std::vector<HolderAction>& aActions);

//! Whether a reply is meant for this start of the host. The sequence of
//! heartbeats begins again at each start, and a reply to a former one may
//! arrive late: the grants in it are not this start's.
bool
IsForThisStart(const HolderState& aState, const wire::HeartbeatReply& aReply);

//! Returns when the next Tick is due: when a heartbeat is due, the followed
//! member times out, or a grant or its drain ends.
foundation::Instant
NextDue(const HolderState& aState);

//! Whether a new write may start under the grant: it is not stopped, and its
//! lease has not ended.
//! NOTE aNow must be read after the work that the check guards. A host that was
//! frozen notices the end of its lease only from a new clock reading.
bool
Holds(const HolderState& aState,
      std::string_view aGroup,
      std::uint64_t aTerm,
      foundation::Instant aNow);

//! Whether a write in flight may still be acknowledged: like Holds, but also
//! true for a stopped grant that is draining.
bool
MayAcknowledge(const HolderState& aState,
               std::string_view aGroup,
               std::uint64_t aTerm,
               foundation::Instant aNow);

} // namespace wigeonlb::core::grants
