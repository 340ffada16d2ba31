#include "peer/internal/messageclass.h"

namespace wigeonlb::peer {

TrafficClass
GetTrafficClass(const wire::PeerMessage& aMessage)
{
  switch (aMessage.body_case()) {
    case wire::PeerMessage::kForwardRequest:
    case wire::PeerMessage::kForwardFrames:
    case wire::PeerMessage::kForwardEnd:
    case wire::PeerMessage::kForwardCredit:
    case wire::PeerMessage::kForwardCancel:
    case wire::PeerMessage::kForwardClose:
    case wire::PeerMessage::kForwardClosed:
    case wire::PeerMessage::kForwardCheck:
    case wire::PeerMessage::kForwardChecked:
      return TrafficClass::Forward;
    default:
      return TrafficClass::Control;
  }
}

int
GetInFlightChange(const wire::PeerMessage& aMessage)
{
  if (aMessage.has_forward_request()) {
    return 1;
  }
  return aMessage.has_forward_end() ? -1 : 0;
}

bool
IsAnswer(const wire::PeerMessage& aMessage)
{
  return aMessage.has_forward_frames() || aMessage.has_forward_end();
}

SnapshotKind
GetSnapshotKind(const wire::PeerMessage& aMessage)
{
  if (aMessage.has_consensus() && aMessage.consensus().has_snapshot_request()) {
    return SnapshotKind::ConsensusChunk;
  }
  if (!aMessage.has_heartbeat_reply()) {
    return SnapshotKind::None;
  }
  const wire::HeartbeatReply& reply = aMessage.heartbeat_reply();
  const bool delayable = reply.whole() && reply.grants().empty();
  return delayable ? SnapshotKind::WholeReply : SnapshotKind::None;
}

} // namespace wigeonlb::peer
