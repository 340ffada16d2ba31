#include <catch2/catch.hpp>

#include "core/quota/tokenholder.h"

namespace wigeonlb::core::quota {

using namespace std::chrono_literals;
using foundation::Instant;

namespace {

constexpr Instant kStart{ 1000s };

wire::QuotaReply
MakeReply(std::uint64_t aSequence, std::uint32_t aTokens)
{
  wire::QuotaReply reply;
  reply.set_sequence(aSequence);
  reply.set_boot(7);
  reply.set_leader(true);
  wire::QuotaGrant& grant = *reply.add_grants();
  grant.set_organisation("org");
  grant.set_tokens(aTokens);
  grant.set_retry_after_us(aTokens == 0 ? 60'000 : 0);
  return reply;
}

//! A holder with a waiting operation, whose request was sent at kStart.
TokenHolder
MakeWaitingHolder()
{
  TokenHolder holder;
  holder.boot_ = 7;
  REQUIRE(Admit(holder, "org", kStart).decision_ == Decision::Waits);
  REQUIRE(MakeRequest(holder, kStart));
  return holder;
}

} // namespace

TEST_CASE("an operation runs only with a token of this start", "[tokenholder]")
{
  struct Row
  {
    std::string description_;
    wire::QuotaReply reply_;
    std::chrono::milliseconds after_; //!< the request, when it is decided again
    Decision decision_;
  };
  wire::QuotaReply ofFormerStart = MakeReply(1, 1);
  ofFormerStart.set_boot(6);
  wire::QuotaReply ofFollower = MakeReply(1, 1);
  ofFollower.set_leader(false);
  const Row rows[] = {
    { "token", MakeReply(1, 1), 10ms, Decision::Admitted },
    { "limit used up", MakeReply(1, 0), 10ms, Decision::OverLimit },
    { "never requested", MakeReply(2, 1), 10ms, Decision::Waits },
    { "of a former start", ofFormerStart, 10ms, Decision::Waits },
    { "of a follower", ofFollower, 10ms, Decision::Waits },
    { "no reply in time", ofFollower, 400ms, Decision::Unconfirmed },
    { "expired while the host stood still",
      MakeReply(1, 1),
      2100ms,
      Decision::Unconfirmed },
  };
  for (const Row& row : rows) {
    CAPTURE(row.description_);
    TokenHolder holder = MakeWaitingHolder();
    OnReply(holder, row.reply_, kStart + 5ms);
    CHECK(AdmitWaiting(holder, "org", kStart, kStart + row.after_).decision_ ==
          row.decision_);
  }
}

TEST_CASE("a token of an operation that was not run is used again",
          "[tokenholder]")
{
  TokenHolder holder = MakeWaitingHolder();
  OnReply(holder, MakeReply(1, 1), kStart + 5ms);
  const Admission first = AdmitWaiting(holder, "org", kStart, kStart + 10ms);
  REQUIRE(first.decision_ == Decision::Admitted);
  CHECK(first.tokenUntil_ == kStart + kTokenLifetimeMs);
  ReturnToken(holder, "org", first.tokenUntil_, kStart + 20ms);
  CHECK(Admit(holder, "org", kStart + 30ms).decision_ == Decision::Admitted);
  ReturnToken(holder, "org", first.tokenUntil_, kStart + 3s);
  CHECK(Admit(holder, "org", kStart + 3s).decision_ == Decision::Waits);
}

TEST_CASE("a holder does not go on sending requests for an idle organisation",
          "[tokenholder]")
{
  TokenHolder holder = MakeWaitingHolder();
  OnReply(holder, MakeReply(1, 1), kStart + 5ms);
  REQUIRE(AdmitWaiting(holder, "org", kStart, kStart + 10ms).decision_ ==
          Decision::Admitted);
  CHECK(GetNextWork(holder) != Instant::max());
  for (Instant now = kStart; now < kStart + 8s; now += 100ms) {
    MakeRequest(holder, now);
    // A time in the past would make the timer run without a pause.
    CHECK(GetNextWork(holder) > now);
  }
  CHECK_FALSE(MakeRequest(holder, kStart + 10s));
  CHECK(holder.organisations_.empty());
  CHECK(GetNextWork(holder) == Instant::max());
}

} // namespace wigeonlb::core::quota
