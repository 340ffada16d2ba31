#include <catch2/catch.hpp>

#include "control/configurationreport.h"

namespace wigeonlb::daemon::control {

using namespace std::chrono_literals;

TEST_CASE("a host that stays behind is reported once, and when it catches up",
          "[configurationreport]")
{
  struct Report
  {
    foundation::Duration at_;
    foundation::Revision inForce_;
    foundation::Revision newest_;
    std::optional<BehindChange> change_;
  };
  struct Row
  {
    std::string_view what_;
    std::vector<Report> reports_;
  };
  const auto row = GENERATE(values<Row>({
    { "up to date", { { 0ms, 71, 71, {} }, { 5000ms, 71, 71, {} } } },
    { "behind for a moment",
      { { 0ms, 70, 71, {} }, { 1900ms, 70, 71, {} }, { 2500ms, 71, 71, {} } } },
    { "behind for long",
      { { 0ms, 70, 71, {} },
        { 2100ms, 70, 71, BehindChange::Behind },
        { 2400ms, 70, 71, {} },
        { 9000ms, 71, 71, BehindChange::CaughtUp },
        { 9100ms, 71, 71, {} } } },
    { "it advances, but not to what it lacked",
      { { 0ms, 60, 71, {} },
        { 1500ms, 65, 71, {} },
        { 3000ms, 70, 71, BehindChange::Behind } } },
    { "many changes, each in force soon",
      { { 0ms, 70, 71, {} },
        { 1500ms, 78, 80, {} },
        { 3000ms, 88, 90, {} },
        { 4500ms, 98, 100, {} } } },
  }));
  INFO(row.what_);
  HostsBehind hosts;
  for (const Report& report : row.reports_) {
    INFO(report.at_.count());
    CHECK(NoteRevision(hosts,
                       "h",
                       report.inForce_,
                       report.newest_,
                       foundation::Instant(report.at_)) == report.change_);
  }
}

} // namespace wigeonlb::daemon::control
