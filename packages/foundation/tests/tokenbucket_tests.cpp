#include <catch2/catch.hpp>

#include "foundation/tokenbucket.h"

namespace wigeonlb::foundation {

TEST_CASE("a bucket passes its burst, then its rate", "[tokenbucket]")
{
  struct Row
  {
    std::uint64_t first_;
    std::uint64_t second_;
    std::chrono::milliseconds gap_;
    bool passes_;
  };
  const auto row = GENERATE(values<Row>({
    { 400, 600, std::chrono::milliseconds(0), true },
    { 400, 601, std::chrono::milliseconds(0), false },
    { 1000, 100, std::chrono::milliseconds(999), false },
    { 1000, 100, std::chrono::milliseconds(1000), true },
    // Larger than the burst: passes a full bucket and overdraws it.
    { 3000, 100, std::chrono::milliseconds(20999), false },
    { 3000, 100, std::chrono::milliseconds(21000), true },
  }));
  const Instant start{};
  TokenBucket bucket = MakeTokenBucket(100, 1000, start);
  REQUIRE(TryCharge(bucket, row.first_, start));
  CHECK(TryCharge(bucket, row.second_, start + row.gap_) == row.passes_);
}

TEST_CASE("the overdraft of a bucket is limited to one burst", "[tokenbucket]")
{
  const Instant start{};
  TokenBucket bucket = MakeTokenBucket(100, 1000, start);
  Charge(bucket, 1000000, start);
  CHECK_FALSE(TryCharge(bucket, 1, start + std::chrono::seconds(10)));
  CHECK(TryCharge(bucket, 1, start + std::chrono::milliseconds(10010)));
}

TEST_CASE("rate 0 means no limit", "[tokenbucket]")
{
  TokenBucket bucket = MakeTokenBucket(0, 0, Instant{});
  CHECK(TryCharge(bucket, 1000000, Instant{}));
}

} // namespace wigeonlb::foundation
