#pragma once

#include <cstddef>
#include <cstdint>

#include <boost/intrusive/list.hpp>

#include "foundation/clock.h"

namespace wigeonlb::core::pool {

namespace intrusive = boost::intrusive;

enum class ConnectionState
{
  Opening,
  Idle,
  //! Runs a statement: holds a slot of the target.
  Busy,
  //! In an open transaction, between two statements: keeps its slot, since the
  //! transaction may hold locks that other statements wait for.
  Pinned,
};

//! A connection derives from this.
struct PooledConnection : intrusive::list_base_hook<>
{
  std::uint64_t id_ = 0;
  ConnectionState state_ = ConnectionState::Opening;
  //! Entered its state.
  foundation::Instant since_;
  //! The target last sent something on it.
  foundation::Instant lastReceivedAt_;
};

//! The connections to one target.
struct TargetPool
{
  //! Most that may be open or opening.
  std::uint32_t share_ = 0;
  //! Most that may be busy, or busy and pinned.
  std::uint32_t slots_ = 1;
  //! An open transaction holds its slot between two statements.
  bool pinnedHoldSlots_ = true;

  //! Idle ones, the last used first.
  intrusive::list<PooledConnection> idle_;
  intrusive::list<PooledConnection> others_;
  std::uint32_t opening_ = 0;
  std::uint32_t busy_ = 0;
  std::uint32_t pinned_ = 0;
};

//! Open, opening and busy ones together.
std::size_t
CountConnections(const TargetPool& aPool);

//! Takes in a connection that is being opened.
void
AddOpening(TargetPool& aPool,
           PooledConnection& aConnection,
           foundation::Instant aNow);

//! Moves a connection to another state.
void
ChangeState(TargetPool& aPool,
            PooledConnection& aConnection,
            ConnectionState aState,
            foundation::Instant aNow);

//! Forgets a connection that is closed.
void
RemoveConnection(TargetPool& aPool, PooledConnection& aConnection);

//! Whether one more statement may run at the target.
bool
HasFreeSlot(const TargetPool& aPool);

//! How many connections to open now, so that each free slot finds an idle one
//! and aWaiting more requests are carried, within the share.
std::uint32_t
CountConnectionsToOpen(const TargetPool& aPool, std::uint32_t aWaiting);

//! An idle connection that is beyond the share; null when there is none.
PooledConnection*
FindSurplus(TargetPool& aPool);

//! One owner's part of a target's slots, at least one.
std::uint32_t
ComputeSlotShare(std::uint32_t aSlots, std::uint32_t aOwners);

} // namespace wigeonlb::core::pool
