#include <catch2/catch.hpp>

#include "traffic/pendingcloses.h"

namespace wigeonlb::daemon::traffic {

using namespace std::chrono_literals;

namespace {

const SessionAtOwner kAt{ "h1", "g", 7 };
const foundation::Instant kStart{ 100s };

//! Number of closes that are sent from the start to a time.
std::size_t
CountSent(PendingCloses& aCloses, foundation::Duration aUntil)
{
  std::size_t sent = 0;
  for (foundation::Duration at{ 0 }; at <= aUntil;
       at += kCloseCheckIntervalMs) {
    sent += ExtractDueCloses(aCloses, kStart + at).size();
  }
  return sent;
}

} // namespace

TEST_CASE("a close is sent again with longer pauses until it expires",
          "[pendingcloses]")
{
  struct Row
  {
    foundation::Duration until_;
    std::size_t sent_;
    bool isPending_;
  };
  const auto row = GENERATE(values<Row>({
    { 100ms, 0, true },
    { 200ms, 1, true },
    { 600ms, 2, true },
    { 3s, 4, true },
    { 29s, 20, true },
    { 31s, 20, false },
  }));
  PendingCloses closes;
  AddClose(closes, kAt, 3, kStart);
  CHECK(CountSent(closes, row.until_) == row.sent_);
  CHECK(closes.closes_.contains(kAt) == row.isPending_);
}

TEST_CASE("a close is pending until it is confirmed or superseded",
          "[pendingcloses]")
{
  struct Row
  {
    std::function<void(PendingCloses&)> event_;
    bool isPending_;
  };
  const auto row = GENERATE(values<Row>({
    { [](PendingCloses& aCloses) { ConfirmClose(aCloses, kAt, 3); }, false },
    { [](PendingCloses& aCloses) { ConfirmClose(aCloses, kAt, 2); }, true },
    { [](PendingCloses& aCloses) {
       ConfirmClose(aCloses, { "h2", "g", 7 }, 3);
     },
      true },
    { [](PendingCloses& aCloses) { SupersedeClose(aCloses, kAt); }, false },
    { [](PendingCloses& aCloses) {
       AddClose(aCloses, kAt, 5, kStart);
       ConfirmClose(aCloses, kAt, 3);
     },
      true },
  }));
  PendingCloses closes;
  AddClose(closes, kAt, 3, kStart);
  row.event_(closes);
  CHECK(closes.closes_.contains(kAt) == row.isPending_);
}

} // namespace wigeonlb::daemon::traffic
