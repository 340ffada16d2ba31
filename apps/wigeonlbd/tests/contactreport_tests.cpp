#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

#include "control/contactreport.h"

namespace wigeonlb::daemon::control {

using namespace std::chrono_literals;

TEST_CASE("a lost leader is reported once, and when one replies again",
          "[contactreport]")
{
  struct Look
  {
    foundation::Duration at_;
    foundation::Duration lastReply_;
    std::optional<ContactChange> change_;
  };
  struct Row
  {
    std::string_view what_;
    std::vector<Look> looks_;
  };
  const auto row = GENERATE(values<Row>({
    { "replies all the time",
      { { 1s, 1s, {} }, { 4s, 4s, {} }, { 9s, 9s, {} } } },
    { "none for a moment", { { 3s, 0s, {} }, { 3500ms, 3400ms, {} } } },
    { "none for long",
      { { 2s, 0s, {} },
        { 3100ms, 0s, ContactChange::Lost },
        { 9s, 0s, {} },
        { 9100ms, 9050ms, ContactChange::Regained },
        { 9200ms, 9150ms, {} } } },
    { "lost twice",
      { { 4s, 0s, ContactChange::Lost },
        { 5s, 5s, ContactChange::Regained },
        { 9s, 5s, ContactChange::Lost } } },
  }));
  INFO(row.what_);
  LeaderContact contact;
  for (const Look& look : row.looks_) {
    INFO(look.at_.count());
    CHECK(NoteLeaderContact(contact,
                            foundation::Instant(look.lastReply_),
                            foundation::Instant(look.at_)) == look.change_);
  }
}

} // namespace wigeonlb::daemon::control
