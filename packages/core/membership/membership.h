#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "control.pb.h"
#include "core/positions/positions.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

//! Soft state of the control leader, and in part of each host: the live hosts,
//! the targets' announcements, and the last report of each observer on each
//! target.
namespace wigeonlb::core::membership {

//! A host that has sent no heartbeat for this long is not live.
constexpr foundation::Duration kHostTimeoutMs = std::chrono::milliseconds(1500);

//! A target that has sent no announcement for this long gets no new work.
constexpr foundation::Duration kTargetTimeoutMs =
  std::chrono::milliseconds(3000);

struct HostEntry
{
  wire::HostInfo info_;
  std::uint64_t sequence_ = 0; //!< of the last accepted heartbeat
  foundation::Instant lastHeartbeatAt_;
  std::uint64_t changedInVersion_ = 0; //!< of the host list, at the last change
};

//! Number of removed hosts that are kept for deltas. When there are more, they
//! are discarded, and hosts with an older list receive the whole list.
constexpr std::size_t kMaxRemovedHosts = 64;

//! One observer's last report of a target.
struct Observation
{
  wire::TargetReport report_;
  foundation::Instant probedAt_; //!< time of receipt minus the report's age
  std::optional<foundation::Instant> unreachableSince_;
  positions::KnownTarget known_;
  bool rebuilt_ = false; //!< position fell, or new incarnation
};

struct TargetEntry
{
  std::optional<wire::Announcement> announcement_;
  foundation::Instant announcedAt_;
  //! Of the newest accepted announcement; older ones arrived late.
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  bool leaving_ = false; //!< announced by this incarnation
  std::map<foundation::HostId, Observation> observations_;
};

struct MembershipState
{
  std::map<foundation::HostId, HostEntry> hosts_;
  std::uint64_t hostsVersion_ = 0; //!< changes with the live hosts
  //! Hosts that were removed, and the first version without each.
  std::map<foundation::HostId, std::uint64_t> removedHosts_;
  //! The oldest version from which a delta can be sent.
  std::uint64_t oldestBase_ = 0;
  //! Hosts that were added, removed or changed since owners were last chosen.
  std::set<foundation::HostId> changedHosts_;
  std::map<foundation::GroupName, std::map<foundation::TargetName, TargetEntry>>
    targets_;
};

//! Records a heartbeat. Returns false if it is not newer than the last one from
//! the same incarnation of the host; the caller must then ignore it.
bool
NoteHost(MembershipState& aState,
         const wire::HostInfo& aHost,
         std::uint64_t aSequence,
         foundation::Instant aNow);

//! Removes hosts, announcements and reports that were not renewed in time.
void
RemoveExpired(MembershipState& aState, foundation::Instant aNow);

//! Lists the live hosts in order of name.
std::vector<wire::HostInfo>
ListLiveHosts(const MembershipState& aState);

//! Starts a new series of versions. Hosts with a list of an earlier series
//! receive the whole list.
void
StartHostVersions(MembershipState& aState, std::uint64_t aVersion);

//! Adds to a reply what a host with version aKnown of the list needs: a delta,
//! or the whole list if there is no delta from that version.
void
AddHostChanges(const MembershipState& aState,
               std::uint64_t aKnown,
               wire::HeartbeatReply& aReply);

//! Records an announcement that was received at aNow. Returns false, without a
//! change, if it is older than the last accepted one of the target.
bool
NoteAnnouncement(MembershipState& aState,
                 const wire::Announcement& aAnnouncement,
                 foundation::Instant aNow);

//! Records a report of an observer. The reports of one observer must come in
//! the order of its probes.
void
NoteReport(MembershipState& aState,
           const foundation::HostId& aObserver,
           const wire::TargetReport& aReport,
           foundation::Instant aNow);

//! Whether, since the last ClearRebuildObservation, an observer has seen the
//! target's log position fall or its incarnation change.
bool
WasRebuildObserved(const MembershipState& aState,
                   std::string_view aGroup,
                   std::string_view aTarget);

//! Discards observations of a rebuild. Called when a target is admitted again,
//! as its earlier log position no longer applies.
void
ClearRebuildObservation(MembershipState& aState,
                        std::string_view aGroup,
                        std::string_view aTarget);

//! Returns the entry of a target, or null if nothing is known about it.
const TargetEntry*
FindTarget(const MembershipState& aState,
           std::string_view aGroup,
           std::string_view aTarget);

//! Whether a target may receive new work. False if it is leaving, or if for
//! kTargetTimeoutMs it has sent no announcement and no observer has reached it.
bool
AcceptsNewWork(const MembershipState& aState,
               std::string_view aGroup,
               std::string_view aTarget,
               foundation::Instant aNow);

//! Returns the newest report on a target by any observer, or null.
const Observation*
FindNewestReport(const MembershipState& aState,
                 std::string_view aGroup,
                 std::string_view aTarget);

} // namespace wigeonlb::core::membership
