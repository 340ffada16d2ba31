#include <catch2/catch.hpp>

#include "core/grants/acknowledgedwrites.h"

namespace wigeonlb::core::grants {

namespace {

using foundation::Instant;
using foundation::LogPosition;

constexpr std::uint64_t kTerm = 3;
constexpr Instant kNow{ std::chrono::seconds(9) };
const HolderKey kHolder{ "h", 1 };

wire::GroupState
MakeGroup()
{
  wire::GroupState group;
  group.set_group("g");
  group.set_term(kTerm);
  return group;
}

//! A heartbeat after the reply aLastReply, which tells of writes.
wire::Heartbeat
MakeHeartbeat(std::uint64_t aLastReply, std::uint64_t aMost)
{
  wire::Heartbeat heartbeat;
  heartbeat.set_last_reply(aLastReply);
  auto* told = heartbeat.add_acknowledged();
  told->set_group("g");
  told->set_term(kTerm);
  told->set_least_offset(aMost - 2);
  told->set_most_offset(aMost);
  return heartbeat;
}

//! A term in which one holder has the grant of its heartbeat 5.
TermWrites
MakeWrites(bool aKnowsAllHolders)
{
  TermWrites writes;
  BeginTerm(writes, kTerm, aKnowsAllHolders);
  RecordIssued(writes, kHolder, { kTerm, 0 }, 5);
  return writes;
}

} // namespace

TEST_CASE("the bound is exact once every holder has told all that it knows",
          "[acknowledgedwrites]")
{
  struct Row
  {
    std::string what_;
    bool knowsAllHolders_;
    bool holds_;
    bool releases_;
    std::uint64_t lastReply_;
    std::uint32_t unknown_;
    bool exact_;
  };
  const auto row = GENERATE(values<Row>({
    { "a grant in use", true, true, false, 5, 0, false },
    { "a release", true, false, true, 4, 0, true },
    { "an end without a release", true, false, false, 5, 0, true },
    { "a grant that may be on its way", true, false, false, 4, 0, false },
    { "writes without an answer", true, false, true, 5, 1, false },
    { "a former leader's grants", false, false, true, 5, 0, false },
  }));
  INFO(row.what_);
  auto writes = MakeWrites(row.knowsAllHolders_);
  auto heartbeat = MakeHeartbeat(row.lastReply_, 120);
  heartbeat.mutable_acknowledged(0)->set_unknown(row.unknown_);
  if (row.holds_) {
    heartbeat.add_held()->set_group("g");
    heartbeat.mutable_held(0)->set_term(kTerm);
  }
  if (row.releases_) {
    heartbeat.add_released()->set_group("g");
    heartbeat.mutable_released(0)->set_term(kTerm);
  }
  RecordTold(writes, kHolder, "g", heartbeat, kNow);
  const auto bounds = FindAcknowledged(&writes, MakeGroup());
  CHECK(bounds.least_ == LogPosition{ kTerm, 118 });
  CHECK(bounds.most_ == LogPosition{ kTerm, 120 });
  CHECK(bounds.isExact_ == row.exact_);
}

TEST_CASE("a release of an earlier epoch does not end a grant",
          "[acknowledgedwrites]")
{
  auto writes = MakeWrites(true);
  RecordIssued(writes, kHolder, { kTerm, 1 }, 8);
  auto heartbeat = MakeHeartbeat(7, 120);
  heartbeat.add_released()->set_group("g");
  heartbeat.mutable_released(0)->set_term(kTerm);
  RecordTold(writes, kHolder, "g", heartbeat, kNow);
  CHECK_FALSE(FindAcknowledged(&writes, MakeGroup()).isExact_);
}

TEST_CASE("a host that starts again can't tell what it knew",
          "[acknowledgedwrites]")
{
  const bool told = GENERATE(true, false);
  auto writes = MakeWrites(true);
  const HolderKey next{ kHolder.host_, 2 };
  if (told) {
    RecordTold(writes, kHolder, "g", MakeHeartbeat(5, 120), kNow);
  }
  RecordIssued(writes, next, { kTerm, 0 }, 1);
  RecordTold(writes, next, "g", MakeHeartbeat(1, 110), kNow);
  const auto bounds = FindAcknowledged(&writes, MakeGroup());
  CHECK(bounds.most_.offset_ == (told ? 120 : 110));
  CHECK(bounds.isExact_ == told);
}

TEST_CASE("the replicated state bounds what holders may have forgotten",
          "[acknowledgedwrites]")
{
  auto group = MakeGroup();
  group.mutable_acknowledged()->set_term(kTerm);
  group.mutable_acknowledged()->set_offset(130);
  auto writes = MakeWrites(true);
  RecordTold(writes, kHolder, "g", MakeHeartbeat(5, 120), kNow);
  CHECK(FindAcknowledged(&writes, group).least_ == LogPosition{ kTerm, 130 });
  // A former version names a departed target instead.
  group.clear_acknowledged();
  auto* departed = group.add_departed();
  departed->set_read_term(kTerm);
  departed->set_read_offset(125);
  CHECK(FindAcknowledged(nullptr, group).least_ == LogPosition{ kTerm, 125 });
}

} // namespace wigeonlb::core::grants
