#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Connections to one target that may be in the course of being opened.
constexpr std::uint32_t kMaxConcurrentOpens = 8;

//! The connection with this id; null when it is closed.
Connection*
FindConnection(Group& aGroup, ConnectionId aId);

//! Schedules the termination of the database session behind a connection that
//! is closed with a statement in flight or a transaction open.
void
TerminateSessionIfUsed(Connection& aConnection);

//! Largest number of queued requests of one organisation that are examined in
//! one step while each connection belongs to one organisation: without an idle
//! connection none of its requests can be sent.
constexpr std::size_t kScanPerOrganisation = 2;

//! How many queued requests of one tenant are examined in one step.
std::size_t
GetTenantScanLimit(const Group& aGroup);

//! Opens a connection for the statements of an organisation; empty: of all.
void
Open(Context& aContext,
     Target& aTarget,
     const foundation::Tenant& aOrganisation);

//! The organisation whose connections may carry the request; empty if every
//! connection may.
const foundation::Tenant&
GetConnectionOrganisation(const Group& aGroup,
                          const admission::QueueItem& aRequest);

//! Whether a statement may be sent to the target now. A connection that is
//! opened for a queued request occupies a slot.
bool
HasSlotFor(const Group& aGroup, const Target& aTarget);

//! Whether the target has an idle connection that may carry the request.
bool
HasIdleFor(Group& aGroup,
           Target& aTarget,
           const admission::QueueItem& aRequest);

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
