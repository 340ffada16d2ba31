#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

//! The group's option `acknowledge`.
void
SetUp(FakeGroup& aGroup, const std::string& aAcknowledge)
{
  aGroup.options_["acknowledge"] = aAcknowledge;
  aGroup.SetUp();
}

} // namespace

// Guards against a choice of the primary that lacks a write of which only the
// host knows that it is acknowledged (issue 62).
TEST_CASE("an owner reports up to where its writes are acknowledged",
          "[traffic][termwrites]")
{
  const bool oneReplica = GENERATE(true, false);
  FakeGroup group({}, 3, 3);
  SetUp(group, oneReplica ? "one_replica" : "primary");
  std::uint64_t before = 0;
  for (int i = 0; i < 3; ++i) {
    const auto done = group.Do({});
    REQUIRE(done.outcome_ == wire::OUTCOME_DONE);
    const auto& told = group.reportedWrites_;
    if (!oneReplica) {
      CHECK(told.term() == 0);
      continue;
    }
    CHECK(told.term() == done.position_.term_);
    CHECK(told.most_offset() == done.position_.offset_);
    CHECK(told.least_offset() > before);
    CHECK(told.least_offset() <= told.most_offset());
    CHECK(told.unknown() == 0);
    before = told.most_offset();
  }
}

TEST_CASE("an owner reports writes whose outcome it doesn't know",
          "[traffic][termwrites]")
{
  FakeGroup group({}, 3, 3);
  SetUp(group, "one_replica");
  REQUIRE(group.Do({}).outcome_ == wire::OUTCOME_DONE);
  CHECK(group.reportedWrites_.unknown() == 0);
  group.Send({});
  group.Run(1ms);
  group.BreakConnections(0);
  group.Run(100ms);
  CHECK(group.reportedWrites_.unknown() == 1);
}

} // namespace wigeonlb::core::traffic::tests
