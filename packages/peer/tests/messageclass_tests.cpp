#include <catch2/catch.hpp>

#include "peer/internal/messageclass.h"

namespace wigeonlb::peer {

TEST_CASE("messages are classified for byte counters and the byte budget",
          "[messageclass]")
{
  struct Row
  {
    void (*fill_)(wire::PeerMessage&);
    TrafficClass class_;
    SnapshotKind snapshot_;
  };
  using Message = wire::PeerMessage;
  const auto row = GENERATE(values<Row>({
    { [](Message& aMessage) { aMessage.mutable_heartbeat(); },
      TrafficClass::Control,
      SnapshotKind::None },
    { [](Message& aMessage) { aMessage.mutable_forward_frames(); },
      TrafficClass::Forward,
      SnapshotKind::None },
    { [](Message& aMessage) { aMessage.mutable_forward_close(); },
      TrafficClass::Forward,
      SnapshotKind::None },
    { [](Message& aMessage) { aMessage.mutable_forward_check(); },
      TrafficClass::Forward },
    { [](Message& aMessage) { aMessage.mutable_forward_checked(); },
      TrafficClass::Forward },
    { [](Message& aMessage) { aMessage.mutable_forward_closed(); },
      TrafficClass::Forward,
      SnapshotKind::None },
    { [](Message& aMessage) {
       aMessage.mutable_consensus()->mutable_append_request();
     },
      TrafficClass::Control,
      SnapshotKind::None },
    { [](Message& aMessage) {
       aMessage.mutable_consensus()->mutable_snapshot_request();
     },
      TrafficClass::Control,
      SnapshotKind::ConsensusChunk },
    { [](Message& aMessage) {
       aMessage.mutable_heartbeat_reply()->set_whole(true);
     },
      TrafficClass::Control,
      SnapshotKind::WholeReply },
    { [](Message& aMessage) {
       aMessage.mutable_heartbeat_reply()->set_whole(true);
       aMessage.mutable_heartbeat_reply()->add_grants();
     },
      TrafficClass::Control,
      SnapshotKind::None },
    { [](Message& aMessage) { aMessage.mutable_heartbeat_reply(); },
      TrafficClass::Control,
      SnapshotKind::None },
  }));
  wire::PeerMessage message;
  row.fill_(message);
  CHECK(GetTrafficClass(message) == row.class_);
  CHECK(GetSnapshotKind(message) == row.snapshot_);
}

} // namespace wigeonlb::peer
