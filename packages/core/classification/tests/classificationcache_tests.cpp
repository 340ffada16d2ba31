#include <chrono>
#include <iostream>

#include <catch2/catch.hpp>

#include "core/classification/classificationcache.h"

namespace wigeonlb::core::classification {

TEST_CASE("the cache stays within its limits", "[classificationcache]")
{
  struct Row
  {
    std::size_t limit_, limitBytes_, queries_, kept_;
  };
  const auto row = GENERATE(values<Row>({
    { 3, 1000, 2, 2 },
    { 3, 1000, 10, 3 },
    { 100, 40, 10, 3 },
    { 0, 1000, 5, 0 },
  }));
  ClassificationCache cache(row.limit_, row.limitBytes_);
  for (std::size_t i = 0; i < row.queries_; ++i) {
    const auto text = "select 1" + std::to_string(100 + i);
    CHECK(cache.Find(text).class_ == wire::STATEMENT_READ);
  }
  CHECK(cache.size() == row.kept_);
  CHECK(cache.Misses() == row.queries_);
}

TEST_CASE("recently used texts are kept, long ones are not cached",
          "[classificationcache]")
{
  ClassificationCache cache(2, 1000);
  cache.Find("select 1");
  cache.Find("update a set b = 1");
  cache.Find("select 1");
  cache.Find("select 3");
  CHECK(cache.Hits() == 1);
  cache.Find("select 1");
  CHECK(cache.Hits() == 2);
  const std::string longText =
    "select '" + std::string(ClassificationCache::kMaxTextBytes, 'x') + "'";
  CHECK(cache.Find(longText).class_ == wire::STATEMENT_READ);
  CHECK(cache.size() == 2);
}

TEST_CASE("time per classification, cached and uncached", "[.measure]")
{
  const std::string text =
    "select o.id, o.stall, s.quantity from orders o join stock s on s.feed = "
    "o.feed where o.club = 'a' and o.day > now() order by o.day limit 20";
  constexpr int kRounds = 20000;
  ClassificationCache cache(100, 100000);
  const auto measure = [&](auto aRun) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kRounds; ++i) {
      aRun();
    }
    const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
    return elapsed.count() / kRounds;
  };
  std::cout << "uncached_us," << measure([&] { Classify(text); })
            << "\ncached_us," << measure([&] { cache.Find(text); }) << '\n';
}

} // namespace wigeonlb::core::classification
