#include <catch2/catch.hpp>

#include "testing/standin/replicatedlog.h"

namespace wigeonlb::testing::standin {

namespace {

ReplicatedLog
MakeLog(std::initializer_list<std::pair<std::uint64_t, const char*>> aEntries)
{
  ReplicatedLog log;
  for (const auto& [term, script] : aEntries) {
    AppendEntry(log, term, script);
  }
  return log;
}

} // namespace

TEST_CASE("prefixes of a log are recognised by offset and digest",
          "[replicatedlog]")
{
  struct Row
  {
    ReplicatedLog log_;
    ReplicatedLog other_;
    bool prefix_;
    std::size_t next_;
  };
  const auto row = GENERATE(values<Row>({
    { {}, {}, true, 0 },
    { MakeLog({ { 1, "a" } }), {}, true, 0 },
    { MakeLog({ { 1, "a" }, { 1, "b" } }), MakeLog({ { 1, "a" } }), true, 1 },
    { MakeLog({ { 1, "a" } }), MakeLog({ { 1, "a" } }), true, 1 },
    { MakeLog({ { 1, "a" } }), MakeLog({ { 1, "b" } }), false, 0 },
    { MakeLog({ { 2, "a" } }), MakeLog({ { 1, "a" } }), false, 0 },
    { MakeLog({ { 1, "a" } }), MakeLog({ { 1, "ab" } }), false, 0 },
    { {}, MakeLog({ { 1, "a" } }), false, 0 },
    { MakeLog({ { 1, "a" }, { 2, "c" } }),
      MakeLog({ { 1, "a" }, { 1, "b" } }),
      false,
      0 },
  }));
  std::size_t next = 0;
  CHECK(
    IsPrefix(row.log_, EndOffset(row.other_), EndDigest(row.other_), next) ==
    row.prefix_);
  CHECK(next == row.next_);
}

} // namespace wigeonlb::testing::standin
