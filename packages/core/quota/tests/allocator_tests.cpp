#include <catch2/catch.hpp>

#include "core/quota/allocator.h"

namespace wigeonlb::core::quota {

using namespace std::chrono_literals;
using foundation::Instant;

namespace {

constexpr Instant kStart{ 1000s };

wire::QuotaRequest
MakeRequest(std::uint64_t aSequence,
            std::uint64_t aLastReply,
            std::uint32_t aWanted,
            std::uint32_t aHeld)
{
  wire::QuotaRequest request;
  request.set_sequence(aSequence);
  request.set_last_reply(aLastReply);
  request.set_boot(1);
  wire::QuotaDemand& demand = *request.add_demands();
  demand.set_organisation("org");
  demand.set_wanted(aWanted);
  demand.set_held(aHeld);
  demand.set_waiting(aWanted);
  return request;
}

std::uint32_t
GetTokens(const wire::QuotaReply& aReply)
{
  return aReply.grants().empty() ? 0 : aReply.grants(0).tokens();
}

Allocator
MakeAllocator(Limit aLimit)
{
  Allocator allocator;
  StartLeading(allocator, kStart - 10s);
  allocator.organisations_.clear();
  SetLimits(allocator, { { "org", aLimit } }, kStart);
  return allocator;
}

} // namespace

TEST_CASE("a leader hands out no more than the limit allows", "[allocator]")
{
  struct Row
  {
    std::string description_;
    Limit limit_;
    std::chrono::milliseconds after_;
    std::uint32_t wanted_, tokens_;
  };
  const auto row = GENERATE(values<Row>({
    { "nothing at the start of a leadership", { 100, 100 }, 0ms, 10, 0 },
    { "the rate and the window's burst", { 100, 100 }, 100ms, 30, 12 },
    { "what is wanted", { 100, 100 }, 100ms, 5, 5 },
    { "a quarter of the excess after a long time", { 100, 100 }, 10s, 90, 20 },
    { "the burst alone", { 0, 10 }, 500ms, 100, 1 },
    { "nothing with a limit of zero", { 0, 0 }, 10s, 100, 0 },
  }));
  CAPTURE(row.description_);
  Allocator allocator = MakeAllocator(row.limit_);
  const wire::QuotaReply reply = Allocate(
    allocator, "a", MakeRequest(1, 0, row.wanted_, 0), kStart + row.after_);
  CHECK(GetTokens(reply) == row.tokens_);
  CHECK((reply.grants(0).retry_after_us() > 0) == (row.tokens_ < row.wanted_));
}

TEST_CASE("tokens that a lost reply may have brought stay outstanding",
          "[allocator]")
{
  struct Row
  {
    std::string description_;
    std::uint64_t lastReply_;
    std::uint32_t held_;
    std::chrono::milliseconds after_;
    std::uint32_t outstanding_;
  };
  const auto row = GENERATE(values<Row>({
    { "the reply may still arrive", 0, 0, 100ms, 20 },
    { "received, not used", 1, 20, 100ms, 20 },
    { "received and used in part", 1, 8, 100ms, 8 },
    { "received and used", 1, 0, 100ms, 0 },
    { "expired", 0, 0, 2100ms, 0 },
  }));
  CAPTURE(row.description_);
  Allocator allocator = MakeAllocator({ 100, 100 });
  const Instant issuedAt = kStart + 200ms;
  REQUIRE(GetTokens(Allocate(
            allocator, "a", MakeRequest(1, 0, 20, 0), issuedAt)) == 20);
  const Instant now = issuedAt + row.after_;
  Allocate(allocator, "a", MakeRequest(2, row.lastReply_, 0, row.held_), now);
  CHECK(CountOutstanding(allocator.organisations_.at("org"), now) ==
        row.outstanding_);
}

TEST_CASE("a delayed or repeated request gets no tokens", "[allocator]")
{
  Allocator allocator = MakeAllocator({ 100, 100 });
  const Instant now = kStart + 200ms;
  CHECK(GetTokens(Allocate(allocator, "a", MakeRequest(2, 0, 5, 0), now)) == 5);
  CHECK(GetTokens(Allocate(allocator, "a", MakeRequest(2, 0, 5, 0), now)) == 0);
  CHECK(GetTokens(Allocate(allocator, "a", MakeRequest(1, 0, 5, 0), now)) == 0);
}

TEST_CASE("a lowered limit applies at once", "[allocator]")
{
  Allocator allocator = MakeAllocator({ 100, 100 });
  SetLimits(allocator, { { "org", { 10, 10 } } }, kStart + 1s);
  CHECK(GetTokens(Allocate(
          allocator, "a", MakeRequest(1, 0, 50, 0), kStart + 1s)) == 6);
}

TEST_CASE("a new leader leaves room for the tokens of former ones",
          "[allocator]")
{
  Allocator allocator;
  SetLimits(allocator, { { "org", { 100, 100 } } }, kStart);
  StartLeading(allocator, kStart);
  const wire::QuotaRequest request = MakeRequest(1, 0, 1000, 0);
  // A sixth of three quarters of 60 + 20.
  CHECK(GetTokens(Allocate(allocator, "a", request, kStart + 1s)) == 10);
}

TEST_CASE("tokens that expired unused are handed out once more", "[allocator]")
{
  struct Row
  {
    std::string description_;
    std::uint64_t before_, after_; //!< expired in total
    std::uint32_t tokens_;
  };
  const auto row = GENERATE(values<Row>({
    { "all", 0, 20, 20 },
    { "some", 3, 10, 7 },
    { "none", 3, 3, 0 },
    { "more than were handed out", 0, 1000, 20 },
    { "counted anew", 5, 2, 0 },
  }));
  CAPTURE(row.description_);
  Allocator allocator = MakeAllocator({ 0, 0 });
  allocator.tolerance_.slack_ = 200;
  allocator.organisations_.at("org").level_ = 20;
  wire::QuotaRequest first = MakeRequest(1, 0, 20, 0);
  first.mutable_demands(0)->set_expired(row.before_);
  REQUIRE(GetTokens(Allocate(allocator, "a", first, kStart)) == 20);
  wire::QuotaRequest second = MakeRequest(2, 1, 100, 0);
  second.mutable_demands(0)->set_expired(row.after_);
  CHECK(GetTokens(Allocate(allocator, "a", second, kStart + 1900ms)) ==
        row.tokens_);
}

} // namespace wigeonlb::core::quota
