#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "core/grants/holderrecord.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::grants {

//! Time between two heartbeats while all is well.
constexpr foundation::Duration kHeartbeatIntervalMs =
  std::chrono::milliseconds(250);

//! Shortest time between two heartbeats; also the interval of a holder that
//! waits for the grant of a new term.
constexpr foundation::Duration kUrgentIntervalMs =
  std::chrono::milliseconds(40);

//! How long a holder that lost its grant keeps asking at the urgent interval.
constexpr foundation::Duration kUrgentPeriodMs =
  std::chrono::milliseconds(5000);

//! Silence of the followed member after which the next one is tried.
constexpr foundation::Duration kMemberSilenceMs =
  std::chrono::milliseconds(400);

//! A follower may still name a leader that has just been silent here: for this
//! long its word is not taken, and it is asked to pass heartbeats on.
constexpr foundation::Duration kHintDistrustMs =
  std::chrono::milliseconds(1000);

//! Interval of an owner whose grant waits for the other hosts' heartbeats to a
//! new leader, or for its log: a few round trips.
constexpr foundation::Duration kPendingIntervalMs =
  std::chrono::milliseconds(60);

//! Pause before a follower with such a hint is asked again.
constexpr foundation::Duration kHintRetryMs = std::chrono::milliseconds(100);

//! Longest pause between two heartbeats while no member answers.
constexpr foundation::Duration kLongestBackOffMs =
  std::chrono::milliseconds(1000);

//! How long transactions in flight may go on after a revocation.
constexpr foundation::Duration kReleaseDrainMs = std::chrono::milliseconds(150);

//! A grant in use.
struct HeldGrant
{
  wire::Grant grant_;
  foundation::Instant expires_;
  std::uint32_t shareInUse_ = 0; //!< connections not yet closed, if more
  bool closed_ = false;          //!< connections are, and stay, closed
  bool stopped_ = false;         //!< takes no new writes, drains
  bool revoked_ = false;         //!< never used again after the drain
  foundation::Instant releaseBy_;
};

//! A host's side of the grants, and its link to the control members.
struct HolderState
{
  wire::HostInfo self_;
  std::vector<foundation::HostId> members_;
  std::uint64_t membersIndex_ = 0;  //!< of the change that named them
  std::size_t followed_ = 0;        //!< index into members_
  std::size_t silent_ = 0;          //!< member that was given up last
  foundation::Instant silentUntil_; //!< hints to it are not taken before
  foundation::Instant relayUntil_;  //!< members pass heartbeats on until then
  std::uint64_t sequence_ = 0;
  std::uint64_t lastReply_ = 0; //!< sequence of the newest leader's reply taken
  bool tellsHolders_ = false;   //!< the leader is new and asks for holders_
  std::uint64_t revision_ = 0;  //!< in force, as the driver reported it
  std::uint64_t hostsVersion_ = 0;
  std::map<foundation::HostId, wire::HostInfo> hosts_; //!< of that version
  std::map<foundation::GroupName, HeldGrant> grants_;
  //! Connections of groups without a grant, beside the probe connection.
  std::map<foundation::GroupName, std::uint32_t> left_;
  //! Holders of the owned groups, as a leader told them.
  std::map<foundation::GroupName, wire::GroupHolders> holders_;
  //! Highest term that was revoked or released; never used again.
  std::map<foundation::GroupName, std::uint64_t> endedTerms_;
  //! Releases that no leader has answered yet, and where they were first sent.
  std::map<std::pair<foundation::GroupName, std::uint64_t>, std::uint64_t>
    releases_;
  std::map<std::pair<foundation::GroupName, foundation::TargetName>,
           std::pair<wire::TargetReport, foundation::Instant>>
    reports_;
  std::map<std::pair<foundation::GroupName, foundation::TargetName>,
           std::pair<wire::Announcement, std::uint64_t>>
    announcements_; //!< not answered yet, with the sequence that carried them
  foundation::Instant lastSent_;
  foundation::Instant nextHeartbeat_;
  foundation::Instant lastContact_;
  foundation::Instant urgentUntil_;
  foundation::Duration backOff_{ 0 };
  std::mt19937_64 random_;
  bool ignoreLeaseEnd_ = false; //!< for tests of the guard only
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
//! Replaces the reports of the targets named. A report's age counts from now.
struct ReportsChanged
{
  std::vector<wire::TargetReport> reports_;
};
struct AnnouncementReceived
{
  wire::Announcement announcement_;
};
//! Nothing is in flight any more under a grant that was stopped, or that the
//! host gives back because it shuts down.
struct DrainedForRelease
{
  foundation::GroupName group_;
  std::uint64_t term_ = 0;
};
//! Most connections to one target that are in use of a group, beside the probe
//! connection; 0 when there is none of either.
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
//! The control members are these, as a member told. The followed one stays if
//! it is among them.
struct MembersChanged
{
  std::vector<foundation::HostId> members_;
  std::uint64_t index_ = 0; //!< of the change, for the heartbeat
};
//! The host is shutting down. Its grants go on until DrainedForRelease.
struct DrainingStarted
{};
using HolderEvent = std::variant<Tick,
                                 ReplyReceived,
                                 RevokeReceived,
                                 ReportsChanged,
                                 AnnouncementReceived,
                                 DrainedForRelease,
                                 ShareInUse,
                                 RevisionInForce,
                                 MembersChanged,
                                 DrainingStarted>;

struct SendHeartbeat
{
  foundation::HostId member_;
  wire::Heartbeat heartbeat_;
};
//! The grant of a group is new, renewed, or gone when it is empty.
struct GrantChanged
{
  foundation::GroupName group_;
  std::optional<wire::Grant> grant_;
  foundation::Instant expires_;
  //! Holders of the group whose lease has ended and that were not heard since,
  //! as the leader told with the grant.
  std::vector<HolderKey> ended_ = {};
};
//! No new writes under this term; answer with DrainedForRelease.
struct StopNewWrites
{
  foundation::GroupName group_;
  std::uint64_t term_ = 0;
  foundation::Instant releaseBy_; //!< in flight until then at the latest
  bool revoked_ = false; //!< else only not renewed: the term may be given again
};
//! The reply's configuration part is to be applied; then RevisionInForce.
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

//! A holder that follows the members in the order given, from a place picked
//! by the seed.
HolderState
MakeHolder(wire::HostInfo aSelf,
           std::vector<foundation::HostId> aMembers,
           std::uint64_t aSeed);

//! Takes one event. A Tick is due at NextDue.
void
Step(HolderState& aState,
     const HolderEvent& aEvent,
     foundation::Instant aNow,
     std::vector<HolderAction>& aActions);

//! When the next Tick has something to do: a heartbeat is due, the followed
//! member has been silent for too long, or a grant ends.
foundation::Instant
NextDue(const HolderState& aState);

//! True while a write may be placed under the grant: not revoked, lease runs.
//! NOTE aNow must be read after the work that it guards: a host that was frozen
//! sees its lease ended only by a new reading.
bool
Holds(const HolderState& aState,
      std::string_view aGroup,
      std::uint64_t aTerm,
      foundation::Instant aNow);

//! True while a write that is in flight may still be acknowledged: as Holds,
//! or revoked and draining.
bool
MayAcknowledge(const HolderState& aState,
               std::string_view aGroup,
               std::uint64_t aTerm,
               foundation::Instant aNow);

} // namespace wigeonlb::core::grants
