#pragma once

#include "peer/peerlinks.h"

namespace wigeonlb::peer {

//! Returns the class under which the bytes of a message are counted.
TrafficClass
GetTrafficClass(const wire::PeerMessage& aMessage);

//! Returns the change in the number of statements in flight that a message
//! causes: 1 for a statement, -1 for the end of its result, else 0.
int
GetInFlightChange(const wire::PeerMessage& aMessage);

//! Whether a message is part of the result of a statement.
bool
IsAnswer(const wire::PeerMessage& aMessage);

//! How the byte budget treats a message.
enum class SnapshotKind : std::uint8_t
{
  None,          //!< never delayed
  WholeReply,    //!< may be delayed; a later one replaces it
  ConsensusChunk //!< may be delayed; kept in order
};

//! NOTE A heartbeat reply with grants is never delayed: leases depend on it.
SnapshotKind
GetSnapshotKind(const wire::PeerMessage& aMessage);

} // namespace wigeonlb::peer
