#include "control/announcementgate.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "core/configuration/applyrecord.h"
#include "core/configuration/groupoptions.h"
#include "foundation/logging.h"

namespace wigeonlb::daemon::control {

namespace {

void
LogUnrecorded(const wire::Announcement& aAnnouncement)
{
  foundation::LogWarning("control",
                         "announcement-not-recorded",
                         { { "group", aAnnouncement.group() },
                           { "target", aAnnouncement.target() } });
}

} // namespace

bool
MayAcknowledge(const wire::ControlState& aControl,
               const wire::Announcement& aAnnouncement)
{
  const auto group = aControl.groups().find(aAnnouncement.group());
  if (group == aControl.groups().end() ||
      core::configuration::OptionText(group->second, "acknowledge") !=
        "one_replica") {
    return true;
  }
  const auto* target =
    core::configuration::FindTarget(group->second, aAnnouncement.target());
  return target != nullptr && target->counted() &&
         target->incarnation() == aAnnouncement.incarnation();
}

void
AddWaiting(std::vector<WaitingAnnouncement>& aWaiting,
           wire::Announcement aAnnouncement,
           AnnouncementDone aDone,
           foundation::Instant aNow)
{
  if (aWaiting.size() >= kMaxWaitingAnnouncements) {
    aDone(false);
    return;
  }
  aWaiting.push_back(
    { std::move(aAnnouncement), std::move(aDone), aNow + kRecordLimitMs });
}

void
AnswerRecorded(std::vector<WaitingAnnouncement>& aWaiting,
               const wire::ControlState& aControl,
               foundation::Instant aNow)
{
  const auto isDue = [&](const WaitingAnnouncement& aItem) {
    return aNow >= aItem.until_ ||
           MayAcknowledge(aControl, aItem.announcement_);
  };
  const auto due =
    std::stable_partition(aWaiting.begin(), aWaiting.end(), std::not_fn(isDue));
  const std::vector<WaitingAnnouncement> answered(
    std::make_move_iterator(due), std::make_move_iterator(aWaiting.end()));
  aWaiting.erase(due, aWaiting.end());
  for (const WaitingAnnouncement& item : answered) {
    const bool isRecorded = MayAcknowledge(aControl, item.announcement_);
    if (!isRecorded) {
      LogUnrecorded(item.announcement_);
    }
    item.done_(isRecorded);
  }
}

} // namespace wigeonlb::daemon::control
