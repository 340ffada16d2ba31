#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The connection of that id, or null when it is closed.
Connection*
FindConnection(Group& aGroup, ConnectionId aId);

//! Has the target end the session behind a connection that is let go with a
//! statement in flight or a transaction open.
void
TerminateSessionIfUsed(Connection& aConnection);

//! Closes a connection and forgets it. What it carried must be settled before.
void
Close(Context& aContext, Connection& aConnection);

//! Closes what a target has. Requests on it end as with a lost connection.
void
CloseAll(Context& aContext, Target& aTarget);

//! Puts a connection back that is in step, or closes it when it must not be
//! used again.
void
ReturnToPool(Context& aContext, Connection& aConnection);

//! Whether a statement of this class, outside a transaction, only reads.
bool
IsRead(wire::StatementClass aClass);

//! Hands a statement over on an idle or pinned connection.
void
SendToTarget(Context& aContext, Connection& aConnection, Request& aRequest);

//! Lets a request go from its connection, which is then read to the end or, if
//! a cancel was sent or aClose is set, closed.
void
DetachRequest(Context& aContext, Request& aRequest, bool aClose);

void
OnConnectionOpened(Context& aContext, const ConnectionOpened& aEvent);
void
OnConnectionFailed(Context& aContext, const ConnectionFailed& aEvent);

//! Opens missing connections, closes surplus ones, checks those that were idle
//! for long.
void
MaintainConnections(Context& aContext);

//! The target answers on a new connection but didn't on an older one: closes
//! the idle ones that nothing came on since then, and has busy ones dropped
//! sooner.
void
MarkSuspectConnections(Context& aContext, Target& aTarget, Instant aSince);

//! Drops connections that are silent.
void
CloseUnresponsiveConnections(Context& aContext);

//! When MaintainConnections or CloseUnresponsiveConnections has something to
//! do.
Instant
NextConnectionWork(const Group& aGroup);

} // namespace wigeonlb::core::traffic::internal
