#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The connection with this id; null when it is closed.
Connection*
FindConnection(Group& aGroup, ConnectionId aId);

//! Schedules the termination of the database session behind a connection that
//! is closed with a statement in flight or a transaction open.
void
TerminateSessionIfUsed(Connection& aConnection);

//! Closes and removes a connection. The request and transaction that it carried
//! must have been finished before.
void
Close(Context& aContext, Connection& aConnection);

//! Closes all connections to a target. Requests on them end as with a lost
//! connection.
void
CloseAll(Context& aContext, Target& aTarget);

//! Returns a connection whose protocol state is idle to the pool, or closes it
//! when it must not be reused.
void
ReturnToPool(Context& aContext, Connection& aConnection);

//! Whether a statement of this class, outside a transaction, only reads.
bool
IsRead(wire::StatementClass aClass);

//! Sends a statement to the target over an idle or pinned connection.
void
SendToTarget(Context& aContext, Connection& aConnection, Request& aRequest);

//! Detaches a request from its connection. The response is then read to its end
//! and discarded or, if a cancel was sent or aClose is set, the connection is
//! closed.
void
DetachRequest(Context& aContext, Request& aRequest, bool aClose);

void
OnConnectionOpened(Context& aContext, const ConnectionOpened& aEvent);
void
OnConnectionFailed(Context& aContext, const ConnectionFailed& aEvent);

//! Opens missing connections, closes surplus ones, and checks connections that
//! have been idle for long.
void
MaintainConnections(Context& aContext);

//! The target responds on a new connection but did not on an older one, to a
//! query sent at aSince. Closes the idle connections on which nothing has been
//! received since then, and shortens the response deadline of busy ones.
void
MarkSuspectConnections(Context& aContext, Target& aTarget, Instant aSince);

//! Closes connections that have passed their response deadline.
void
CloseUnresponsiveConnections(Context& aContext);

//! When MaintainConnections or CloseUnresponsiveConnections has work next.
Instant
NextConnectionWork(const Group& aGroup);

} // namespace wigeonlb::core::traffic::internal
