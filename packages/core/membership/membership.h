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

//! Soft state, kept at the control leader and in part at each host: live
//! hosts, announcements, and the last report of each target by each observer.
namespace wigeonlb::core::membership {

//! A host without a heartbeat for this long is not live.
constexpr foundation::Duration kHostSilenceMs = std::chrono::milliseconds(1500);

//! A target without an announcement for this long gets no new work.
constexpr foundation::Duration kTargetTimeoutMs =
  std::chrono::milliseconds(3000);

struct HostEntry
{
  wire::HostInfo info_;
  std::uint64_t sequence_ = 0; //!< of the last heartbeat taken
  foundation::Instant lastHeard_;
  std::uint64_t changedIn_ = 0; //!< version of the list that told of it last
};

//! Hosts that went away are remembered up to this number; a host that knows an
//! older list gets a whole one.
constexpr std::size_t kGoneHosts = 64;

//! One observer's last report of a target.
struct Observation
{
  wire::TargetReport report_;
  foundation::Instant probedAt_; //!< arrival less the age stated in the report
  std::optional<foundation::Instant> unreachableSince_;
  positions::KnownTarget known_;
  bool rebuilt_ = false; //!< went back, or began a new incarnation
};

struct TargetEntry
{
  std::optional<wire::Announcement> announcement_;
  foundation::Instant announcedAt_;
  //! Of the newest announcement taken; older ones are late.
  std::uint64_t incarnation_ = 0;
  std::uint64_t sequence_ = 0;
  bool leaving_ = false; //!< this incarnation said so
  std::map<foundation::HostId, Observation> observations_;
};

struct MembershipState
{
  std::map<foundation::HostId, HostEntry> hosts_;
  std::uint64_t hostsVersion_ = 0; //!< differs whenever the live hosts differ
  //! Hosts that went away, and the version without them.
  std::map<foundation::HostId, std::uint64_t> goneHosts_;
  //! The oldest version that a list can be changed from.
  std::uint64_t oldestBase_ = 0;
  //! Hosts that came, went or changed since the owners were last chosen.
  std::set<foundation::HostId> changedHosts_;
  std::map<foundation::GroupName, std::map<foundation::TargetName, TargetEntry>>
    targets_;
};

//! Notes a heartbeat. Returns false for one that is older than the last taken
//! from the same boot of the host; the caller then ignores all of it.
bool
NoteHost(MembershipState& aState,
         const wire::HostInfo& aHost,
         std::uint64_t aSequence,
         foundation::Instant aNow);

//! Removes hosts, announcements and reports that were silent for too long.
void
RemoveExpired(MembershipState& aState, foundation::Instant aNow);

//! Live hosts in order of name.
std::vector<wire::HostInfo>
ListLiveHosts(const MembershipState& aState);

//! Begins a new series of versions; lists of earlier ones are replaced.
void
StartHostVersions(MembershipState& aState, std::uint64_t aVersion);

//! Adds to a reply what a host with the list aKnown lacks: the changes, or the
//! whole list when aKnown is none of this series.
void
AddHostChanges(const MembershipState& aState,
               std::uint64_t aKnown,
               wire::HeartbeatReply& aReply);

//! Notes an announcement that arrived at aNow. Returns false for one that is
//! older than the last taken of the target; it changes nothing.
bool
NoteAnnouncement(MembershipState& aState,
                 const wire::Announcement& aAnnouncement,
                 foundation::Instant aNow);

//! Notes a report by an observer, in the order in which it probed.
void
NoteReport(MembershipState& aState,
           const foundation::HostId& aObserver,
           const wire::TargetReport& aReport,
           foundation::Instant aNow);

//! True when an observer saw the target go back or begin anew since the last
//! ClearRebuildObservation.
bool
SawRebuild(const MembershipState& aState,
           std::string_view aGroup,
           std::string_view aTarget);

//! Called when a target is admitted again: what was known of it before no
//! longer speaks against it.
void
ClearRebuildObservation(MembershipState& aState,
                        std::string_view aGroup,
                        std::string_view aTarget);

//! Entry of a target, or null when nothing is known of it.
const TargetEntry*
FindTarget(const MembershipState& aState,
           std::string_view aGroup,
           std::string_view aTarget);

//! False for a target that is leaving, or that neither announced itself nor was
//! reached by an observer for kTargetTimeoutMs.
bool
AcceptsNewWork(const MembershipState& aState,
               std::string_view aGroup,
               std::string_view aTarget,
               foundation::Instant aNow);

//! The newest report of a target by any observer, or null.
const Observation*
NewestReport(const MembershipState& aState,
             std::string_view aGroup,
             std::string_view aTarget);

} // namespace wigeonlb::core::membership
