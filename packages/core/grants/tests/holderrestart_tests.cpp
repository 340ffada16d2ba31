#include <catch2/catch.hpp>

#include "core/grants/holder.h"

namespace wigeonlb::core::grants {

namespace {

using foundation::Instant;

constexpr Instant kStart{ std::chrono::seconds(1000) };
constexpr std::uint64_t kBoot = 7;
constexpr std::uint64_t kLeaseUs = 1'000'000;

//! A leader's reply to the first heartbeat of a start of the host.
wire::HeartbeatReply
MakeFirstReply(std::uint64_t aBoot)
{
  wire::HeartbeatReply reply;
  reply.set_from("m0");
  reply.set_leader(true);
  reply.set_boot(aBoot);
  reply.set_sequence(1);
  reply.set_sent_at_us(
    static_cast<std::uint64_t>(kStart.time_since_epoch().count()));
  auto* grant = reply.add_grants();
  grant->set_group("g");
  grant->set_term(1);
  grant->set_connection_share(5);
  grant->set_lease_us(kLeaseUs);
  return reply;
}

} // namespace

// Guards against a grant that the leader counts for a former start.
TEST_CASE("a reply to a heartbeat of a former start grants nothing", "[holder]")
{
  const auto [boot, granted] = GENERATE(table<std::uint64_t, bool>({
    { kBoot - 1, false },
    { kBoot, true },
    { 0, true }, // of a leader that does not tell it
  }));
  wire::HostInfo self;
  self.set_host("h");
  self.set_boot(kBoot);
  HolderState holder = MakeHolder(self, { "m0" }, 1);
  std::vector<HolderAction> actions;
  Step(holder, Tick{}, kStart, actions);
  REQUIRE(holder.sequence_ == 1);
  Step(holder, ReplyReceived{ MakeFirstReply(boot) }, kStart, actions);
  CHECK(Holds(holder, "g", 1, kStart) == granted);
}

} // namespace wigeonlb::core::grants
