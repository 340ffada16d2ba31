#include <catch2/catch.hpp>

#include "traffic/ownedsessions.h"

namespace wigeonlb::daemon::traffic {

namespace {

wire::ForwardRequest
MakeRequest(std::uint64_t aNumber)
{
  wire::ForwardRequest request;
  request.set_session(1);
  request.set_request(aNumber);
  return request;
}

} // namespace

TEST_CASE("a later request replaces one that still runs, a late one is dropped",
          "[ownedsessions]")
{
  struct Row
  {
    std::uint64_t last_;
    bool running_;
    std::uint64_t next_;
    bool isTaken_;
  };
  const auto row = GENERATE(values<Row>({
    { 3, false, 4, true },
    { 3, false, 3, false },
    { 3, false, 2, false },
    { 3, true, 4, true },
    { 3, true, 3, false },
    { 3, true, 2, false },
  }));
  OwnedSessions sessions;
  OwnedSession& session = sessions.GetOrCreate({ "h", 1, 1 });
  REQUIRE(BeginRequest(session, MakeRequest(row.last_)));
  session.running_ = row.running_;
  CHECK(BeginRequest(session, MakeRequest(row.next_)) == row.isTaken_);
  CHECK(session.request_.request() == (row.isTaken_ ? row.next_ : row.last_));
}

} // namespace wigeonlb::daemon::traffic
