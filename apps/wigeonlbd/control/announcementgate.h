#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "control.pb.h"
#include "foundation/clock.h"

//! When a target's announcement is acknowledged. In a group whose writes are
//! acknowledged once one replica has received them, a target may acknowledge
//! writes as soon as it was acknowledged itself. So it is recorded first: a
//! choice of the primary by any later control leader then includes it.
namespace wigeonlb::daemon::control {

//! Senders wait a second for the answer and then turn to another host.
constexpr foundation::Duration kRecordLimitMs = std::chrono::milliseconds(900);

//! More announcements than these are answered negatively at once.
constexpr std::size_t kMaxWaitingAnnouncements = 256;

//! Receives whether the announcement is acknowledged.
using AnnouncementDone = std::function<void(bool)>;

struct WaitingAnnouncement
{
  wire::Announcement announcement_;
  AnnouncementDone done_;
  foundation::Instant until_;
};

//! Whether the announcement may be acknowledged by this configuration: its
//! group needs no record, or counts the target with these data.
bool
MayAcknowledge(const wire::ControlState& aControl,
               const wire::Announcement& aAnnouncement);

//! Adds an announcement, or answers it at once if there are too many.
void
AddWaiting(std::vector<WaitingAnnouncement>& aWaiting,
           wire::Announcement aAnnouncement,
           AnnouncementDone aDone,
           foundation::Instant aNow);

//! Answers the announcements that are recorded, or whose time is over.
void
AnswerRecorded(std::vector<WaitingAnnouncement>& aWaiting,
               const wire::ControlState& aControl,
               foundation::Instant aNow);

} // namespace wigeonlb::daemon::control
