#include <catch2/catch.hpp>

#include "core/configuration/delivery.h"
#include "core/configuration/hostconfiguration.h"

namespace wigeonlb::core::configuration {

using namespace std::chrono_literals;

namespace {

//! A reply with the whole configuration, or without a change if not whole_.
struct Reply
{
  foundation::Duration receivedAt_;
  foundation::Duration askedAt_;
  foundation::Revision revision_;
  bool whole_ = false;
  bool confirmed_ = true;
};

void
Receive(HostConfiguration& aState, const Reply& aReply)
{
  wire::HeartbeatReply reply;
  reply.set_from("a");
  reply.set_sent_at_us(aReply.askedAt_.count());
  reply.set_revision(aReply.revision_);
  reply.set_base_revision(aReply.whole_ ? 0 : aReply.revision_);
  reply.set_whole(aReply.whole_);
  reply.set_confirmed(aReply.confirmed_);
  NoteConfirmation(aState, reply, foundation::Instant(aReply.receivedAt_));
  const bool isUsable = ReceiveConfiguration(aState, reply);
  if (ConfirmReceived(aState, reply) || isUsable) {
    aState.inForce_ = aState.received_;
  }
}

} // namespace

// Guards against a confirmation that is taken for younger than its request, or
// for one of another revision.
TEST_CASE("a confirmation is as old as the heartbeat that it answers",
          "[hostconfiguration]")
{
  struct Row
  {
    std::string_view what_;
    std::vector<Reply> replies_;
    bool mayRefuse_; //!< at 10 s
  };
  const auto row = GENERATE(values<Row>({
    { "of a leader", { { 9s, 9s, 70, true } }, true },
    { "of a follower", { { 9s, 9s, 70, true, false } }, false },
    { "an old one", { { 8s, 8s, 70, true } }, false },
    { "renewed", { { 8s, 8s, 70, true }, { 9900ms, 9800ms, 70 } }, true },
    { "a reply that waited while the host stood still",
      { { 5s, 5s, 70, true }, { 9990ms, 5250ms, 70 } },
      false },
    { "a late reply after a newer one",
      { { 9900ms, 9800ms, 70, true }, { 9950ms, 5s, 70 } },
      true },
    { "a newer revision is on its way",
      { { 9s, 9s, 70, true }, { 9900ms, 9800ms, 71 } },
      false },
    { "it has come, by a follower",
      { { 9s, 9s, 70, true },
        { 9900ms, 9800ms, 71 },
        { 9950ms, 9900ms, 71, true, false } },
      true },
    { "an older leader's view, confirmed before",
      { { 9s, 9s, 70, true }, { 9100ms, 8900ms, 69 } },
      true },
    { "no time of its heartbeat", { { 9900ms, 0s, 70, true } }, false },
    { "a heartbeat of the future", { { 9900ms, 11s, 70, true } }, false },
    { "no configuration yet", { { 9900ms, 9800ms, 0 } }, false },
  }));
  INFO(row.what_);
  HostConfiguration state;
  state.expected_ = true;
  for (const Reply& reply : row.replies_) {
    Receive(state, reply);
  }
  CHECK(MayRefuseNames(FindConfirmation(state), foundation::Instant(10s)) ==
        row.mayRefuse_);
}

TEST_CASE("a host that expects no configuration refuses names by an empty one",
          "[hostconfiguration]")
{
  HostConfiguration state;
  Receive(state, { 9900ms, 9800ms, 0 });
  CHECK(MayRefuseNames(FindConfirmation(state), foundation::Instant(10s)));
}

// Guards against names that are refused before the whole configuration has
// come.
TEST_CASE("a reply whose configuration follows separately changes nothing",
          "[hostconfiguration]")
{
  wire::ControlState control;
  wire::ControlRecord record;
  record.mutable_change()->set_change_id("c");
  record.mutable_change()->add_operations()->mutable_create_group()->set_group(
    "g");
  REQUIRE(ApplyRecord(control, record, 1).changed_);
  const bool isExpected = GENERATE(false, true);
  Delivery delivery;
  wire::HeartbeatReply reply;
  reply.set_from("a");
  reply.set_sent_at_us(std::chrono::microseconds(9800ms).count());
  reply.set_confirmed(true);
  const foundation::Instant now(10s);
  const auto whole = AddConfiguration(delivery, control, "h", now, reply);
  REQUIRE(whole.has_value());

  HostConfiguration state;
  state.expected_ = isExpected;
  NoteConfirmation(state, reply, now);
  CHECK_FALSE(ReceiveConfiguration(state, reply));
  CHECK_FALSE(ConfirmReceived(state, reply));
  CHECK_FALSE(MayRefuseNames(FindConfirmation(state), now));
  const bool isUsable = ReceiveConfiguration(state, *whole);
  CHECK((ConfirmReceived(state, *whole) || isUsable));
  state.inForce_ = state.received_;
  CHECK(state.inForce_.state_.groups_size() == 1);
  CHECK(MayRefuseNames(FindConfirmation(state), now));
}

} // namespace wigeonlb::core::configuration
