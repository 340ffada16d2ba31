#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include <boost/intrusive/list.hpp>

#include "foundation/clock.h"
#include "foundation/identifiers.h"

namespace wigeonlb::core::pool {

namespace intrusive = boost::intrusive;

enum class ConnectionState
{
  Opening,
  Idle,
  //! Runs a statement and holds a slot of the target.
  Busy,
  //! In an open transaction, between two statements. Keeps its slot, because
  //! the transaction may hold locks for which other statements wait.
  Pinned,
};

//! Base class of a connection in a pool.
struct PooledConnection : intrusive::list_base_hook<>
{
  std::uint64_t id_ = 0;
  //! Organisation whose statements it carries; empty if it carries everyone's.
  foundation::Tenant organisation_;
  foundation::Instant openedAt_;
  std::uint64_t uses_ = 0; //!< statements that it has carried
  ConnectionState state_ = ConnectionState::Opening;
  //! When the connection entered its state.
  foundation::Instant since_;
  //! When the target last sent data on the connection.
  foundation::Instant lastReceivedAt_;
};

//! The connections to one target.
struct TargetPool
{
  //! Largest number of connections, open or opening.
  std::uint32_t share_ = 0;
  //! Largest number of busy connections, including pinned ones if
  //! pinnedHoldSlots_.
  std::uint32_t slots_ = 1;
  //! Whether a transaction holds its slot between two statements.
  bool pinnedHoldSlots_ = true;

  //! Idle connections, most recently used first.
  intrusive::list<PooledConnection> idle_;
  intrusive::list<PooledConnection> others_;
  std::uint32_t opening_ = 0;
  std::uint32_t busy_ = 0;
  std::uint32_t pinned_ = 0;
};

//! Returns the number of connections in all states.
std::size_t
CountConnections(const TargetPool& aPool);

//! Adds a connection that is being opened.
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

//! Removes a closed connection from the pool.
void
RemoveConnection(TargetPool& aPool, PooledConnection& aConnection);

//! Whether one more statement may run on the target.
bool
HasFreeSlot(const TargetPool& aPool);

//! Returns how many connections to open now, within the share, so that there is
//! an idle one for each free slot and one for each of aWaiting more requests.
std::uint32_t
CountConnectionsToOpen(const TargetPool& aPool, std::uint32_t aWaiting);

//! Returns an idle connection to close if the pool exceeds its share; else
//! null.
PooledConnection*
FindSurplus(TargetPool& aPool);

//! Returns the most recently used idle connection of an organisation, or null.
PooledConnection*
FindIdle(TargetPool& aPool, const foundation::Tenant& aOrganisation);

//! Returns how many connections of an organisation will be idle shortly: those
//! being opened, and those that run a statement.
std::uint32_t
CountSoonIdle(const TargetPool& aPool, const foundation::Tenant& aOrganisation);

//! Whether a connection may be opened now although the target is in use:
//! opening one occupies a slot of the target for some time.
bool
HasSlotToOpen(const TargetPool& aPool);

//! Whether the share is used up, so that a connection has to be closed before
//! another one is opened.
bool
IsShareUsed(const TargetPool& aPool);

//! Which idle connections may be closed for another organisation.
enum class Replace
{
  Unneeded, //!< those that no waiting request needs
  Used,     //!< also needed ones, but not before their first statement
};

//! Returns the idle connection to close for another organisation: the one with
//! the fewest statements in its time. Null if there is none. aNeeded are the
//! organisations of waiting requests.
PooledConnection*
FindReplaceable(TargetPool& aPool,
                const std::set<foundation::Tenant>& aNeeded,
                Replace aReplace,
                foundation::Instant aNow);

//! Returns one owner's part of a target's slots, rounded up; at least one.
std::uint32_t
ComputeSlotShare(std::uint32_t aSlots, std::uint32_t aOwners);

} // namespace wigeonlb::core::pool
