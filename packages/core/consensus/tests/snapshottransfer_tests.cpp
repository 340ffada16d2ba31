#include <catch2/catch.hpp>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::Instant;
using namespace std::chrono_literals;

constexpr Instant kNow{ 1000s };
constexpr std::uint64_t kSnapshotIndex = 50;

std::string
SerializeGroup(const char* aGroup)
{
  wire::ControlState state;
  (*state.mutable_groups())[aGroup].set_group(aGroup);
  return state.SerializeAsString();
}

//! Sends one part of a snapshot to member b. Returns the next offset that it
//! asks for, or nothing once it has installed the snapshot.
std::optional<std::uint64_t>
SendPart(ConsensusState& aState,
         const char* aLeader,
         std::uint64_t aTerm,
         std::uint64_t aOffset,
         const std::string& aBytes,
         std::size_t aPartBytes)
{
  wire::ConsensusMessage message;
  message.set_from(aLeader);
  message.set_to("b");
  message.set_term(aTerm);
  auto& request = *message.mutable_snapshot_request();
  request.set_last_index(kSnapshotIndex);
  request.set_last_term(1);
  for (const char* host : { "a", "b", "c" }) {
    request.mutable_members()->add_voters(host);
  }
  request.set_offset(aOffset);
  request.set_chunk(aBytes.substr(aOffset, aPartBytes));
  request.set_done(aOffset + aPartBytes >= aBytes.size());
  std::vector<Action> actions;
  Step(aState, MessageReceived{ message }, kNow, actions);
  for (const Action& action : actions) {
    if (const auto* sent = std::get_if<SendMessage>(&action)) {
      const auto& reply = sent->message_.snapshot_reply();
      return reply.last_index() > 0 ? std::nullopt
                                    : std::optional(reply.next_offset());
    }
  }
  FAIL("the part was not answered");
  return std::nullopt;
}

} // namespace

TEST_CASE("a snapshot is put together from the parts of one leader only",
          "[consensus][snapshot]")
{
  // Two members may serialize one state in different orders.
  const std::string first = SerializeGroup("x") + SerializeGroup("y");
  const std::string second = SerializeGroup("y") + SerializeGroup("x");
  REQUIRE(first.size() == second.size());
  const std::size_t part = first.size() / 2;
  ConsensusSettings settings;
  settings.self_ = "b";
  settings.founders_ = { "a", "b", "c" };
  wire::HardState hardState;
  hardState.set_term(1);
  ConsensusState state = MakeConsensusState(settings, hardState, {}, {}, kNow);
  REQUIRE(SendPart(state, "a", 2, 0, first, part) == part);

  std::optional<std::uint64_t> offset = 0;
  for (int parts = 0; offset && parts < 4; ++parts) {
    offset = SendPart(state, "c", 3, *offset, second, part);
  }
  CHECK_FALSE(offset);
  wire::ControlState installed;
  REQUIRE(installed.ParseFromString(state.log_.snapshot_->bytes_));
  CHECK(installed.groups().contains("x"));
  CHECK(installed.groups().contains("y"));
}

} // namespace wigeonlb::core::consensus
