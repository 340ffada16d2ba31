#pragma once

#include <cstdint>
#include <vector>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "foundation/termepoch.h"

//! The leader's record of one holder, and the number of connections with which
//! it counts against the connection limit.
namespace wigeonlb::core::grants {

//! Time after which a holder that no longer sends heartbeats stops counting. A
//! host that is only cut off keeps connections for reads until then. Without
//! this limit, a host that was removed and never restarted would count forever.
constexpr foundation::Duration kUnresponsiveHolderExpiryMs =
  std::chrono::hours(4);

//! One grant that was sent in a reply.
struct IssuedGrant
{
  std::uint64_t sequence_ = 0; //!< of the heartbeat that was answered
  std::uint64_t term_ = 0;
  std::uint32_t share_ = 0;
  foundation::Instant ends_; //!< end of the lease plus clock drift
  std::uint64_t epoch_ = 0;  //!< of the term
};

//! One process incarnation of one host.
struct HolderKey
{
  foundation::HostId host_;
  std::uint64_t boot_ = 0;

  auto operator<=>(const HolderKey&) const = default;
};

//! Summary of grants whose lease has ended before the holder reported that it
//! no longer uses them. The holder may be frozen with all its connections open.
struct EndedGrants
{
  std::uint64_t sequence_ = 0; //!< of the newest grant
  std::uint32_t share_ = 0;    //!< the largest share
  foundation::Instant endedAt_;
};

//! The leader's record of one holder of one group.
struct HolderRecord
{
  std::vector<IssuedGrant> issued_; //!< not superseded yet, oldest first
  EndedGrants ended_;
  //! Connections that the holder reports as open without a grant.
  std::uint32_t leftoverConnections_ = 0;
  foundation::Instant lastHeartbeatAt_;
  //! Grants issued for heartbeats up to this sequence are no longer in use.
  std::uint64_t unusedThroughSequence_ = 0;
  foundation::TermEpoch released_;  //!< terms up to this one were released
  bool hasProbeConnection_ = false; //!< as the holder reported
  bool replaced_ = false;           //!< the host has a newer incarnation
};

//! Records what a heartbeat of the holder reports about the group; aHeld is
//! null if it reports nothing. aLastReply is the newest reply that the holder
//! has processed.
void
RecordHeldGrant(HolderRecord& aRecord,
                const wire::Grant* aHeld,
                std::uint64_t aLastReply,
                foundation::Instant aNow);

//! Moves the grants whose lease has ended to ended_. Those that the holder has
//! reported as no longer used are removed.
void
MoveEndedGrants(HolderRecord& aRecord, foundation::Instant aNow);

//! Returns the number of connections that the holder may have open to each
//! target, without its probe connection.
std::uint32_t
GetCountedShare(const HolderRecord& aRecord, foundation::Instant aNow);

//! As GetCountedShare, but including the probe connection.
std::uint32_t
GetCountedConnections(const HolderRecord& aRecord, foundation::Instant aNow);

//! Whether the lease of the last grant has ended, clock drift included, and the
//! holder has sent no heartbeat since.
bool
IsUnresponsiveSinceLeaseEnd(const HolderRecord& aRecord,
                            foundation::Instant aNow);

//! Whether a grant of aTerm or of an earlier term may be in use.
bool
MayUseTerm(const HolderRecord& aRecord,
           std::uint64_t aTerm,
           foundation::Instant aNow);

//! Whether the record has no effect any more and can be removed.
bool
IsEmpty(const HolderRecord& aRecord, foundation::Instant aNow);

} // namespace wigeonlb::core::grants
