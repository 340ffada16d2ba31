#include <catch2/catch.hpp>

#include "control/announcementgate.h"

namespace wigeonlb::daemon::control {

namespace {

using foundation::Instant;

wire::ControlState
MakeControl(const std::string& aAcknowledge)
{
  wire::ControlState control;
  auto& group = (*control.mutable_groups())["g"];
  (*group.mutable_options())["acknowledge"] = aAcknowledge;
  auto* counted = group.add_targets();
  counted->set_target("counted");
  counted->set_incarnation(7);
  counted->set_counted(true);
  auto* admitted = group.add_targets();
  admitted->set_target("admitted");
  admitted->set_incarnation(7);
  return control;
}

wire::Announcement
MakeAnnouncement(const std::string& aGroup,
                 const std::string& aTarget,
                 std::uint64_t aIncarnation)
{
  wire::Announcement announcement;
  announcement.set_group(aGroup);
  announcement.set_target(aTarget);
  announcement.set_incarnation(aIncarnation);
  return announcement;
}

} // namespace

// Guards against a target that acknowledges writes although a choice of the
// primary may not know it (issue 62, review/11).
TEST_CASE("a target is acknowledged only once it is recorded",
          "[announcementgate]")
{
  struct Row
  {
    std::string acknowledge_;
    std::string group_;
    std::string target_;
    std::uint64_t incarnation_;
    bool acknowledged_;
  };
  const auto row = GENERATE(values<Row>({
    { "one_replica", "g", "counted", 7, true },
    { "one_replica", "g", "counted", 8, false },
    { "one_replica", "g", "admitted", 7, false },
    { "one_replica", "g", "new", 7, false },
    { "one_replica", "other", "new", 7, true },
    { "primary", "g", "new", 7, true },
    { "majority", "g", "new", 7, true },
  }));
  CHECK(MayAcknowledge(
          MakeControl(row.acknowledge_),
          MakeAnnouncement(row.group_, row.target_, row.incarnation_)) ==
        row.acknowledged_);
}

TEST_CASE("an announcement is answered when it is recorded, or in time",
          "[announcementgate]")
{
  const Instant start{ std::chrono::seconds(5) };
  auto control = MakeControl("one_replica");
  std::vector<WaitingAnnouncement> waiting;
  std::vector<bool> answers;
  const auto done = [&](bool aIsAcknowledged) {
    answers.push_back(aIsAcknowledged);
  };
  AddWaiting(waiting, MakeAnnouncement("g", "admitted", 7), done, start);
  AddWaiting(waiting, MakeAnnouncement("g", "new", 7), done, start);
  AnswerRecorded(waiting, control, start);
  CHECK(answers.empty());
  control.mutable_groups()->at("g").mutable_targets(1)->set_counted(true);
  AnswerRecorded(waiting, control, start);
  CHECK(answers == std::vector{ true });
  AnswerRecorded(waiting, control, start + kRecordLimitMs);
  CHECK(answers == std::vector{ true, false });
  CHECK(waiting.empty());
}

TEST_CASE("announcements that wait are bounded", "[announcementgate]")
{
  std::vector<WaitingAnnouncement> waiting;
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kMaxWaitingAnnouncements + 3; ++i) {
    AddWaiting(
      waiting, MakeAnnouncement("g", "new", i), [&](bool) { ++refused; }, {});
  }
  CHECK(waiting.size() == kMaxWaitingAnnouncements);
  CHECK(refused == 3);
}

} // namespace wigeonlb::daemon::control
