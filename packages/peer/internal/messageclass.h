#pragma once

#include "peer/peerlinks.h"

namespace wigeonlb::peer {

//! The class that a message's bytes are counted under.
TrafficClass
GetTrafficClass(const wire::PeerMessage& aMessage);

//! What a message adds to the statements in flight on its link: 1 for a
//! statement, -1 for the end of its answer.
int
GetInFlightChange(const wire::PeerMessage& aMessage);

//! How the byte budget treats a message.
enum class SnapshotKind : std::uint8_t
{
  None,          //!< never delayed
  WholeReply,    //!< a later one replaces it
  ConsensusChunk //!< kept in order
};

//! NOTE A heartbeat reply with grants is never delayed: leases depend on it.
SnapshotKind
GetSnapshotKind(const wire::PeerMessage& aMessage);

} // namespace wigeonlb::peer
