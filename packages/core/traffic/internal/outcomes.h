#pragma once

#include <string>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The live request of that id, or null.
Request*
FindRequest(Group& aGroup, const RequestId& aId);

//! Takes a request out of the queue or list that it waits in.
void
Unqueue(Request& aRequest);

//! Ends a request with the outcome given. The request is gone afterwards.
void
FinishRequest(Context& aContext, Request& aRequest, Finish aFinish);

//! Ends a request that was not handed over. One that was ends as unknown, and
//! a transaction that it belongs to is aborted.
void
FinishNotRun(Context& aContext,
             Request& aRequest,
             std::string aSqlstate,
             std::string aMessage,
             Duration aRetryAfter,
             bool aTryAnotherOwner = false);

//! FinishNotRun because no grant is held, or it is being revoked. Without one
//! for some time, the request is left to another owner: this host may be cut
//! off from the control leader alone. Not at once, because links to hosts that
//! were cut off together with the leader must be known as lost by then;
//! otherwise the outcome of what is sent there would be unknown.
void
FinishNoGrant(Context& aContext, Request& aRequest);

//! Ends a request whose outcome can't be known. Its connection must have been
//! let go.
void
FinishUnknown(Context& aContext, Request& aRequest, std::string aMessage);

//! The transaction of a session is lost: its connection is closed, and the
//! session's next statements are refused until it ends the transaction.
void
AbortTransaction(Context& aContext, Session& aSession);

//! Forgets a session that has nothing open.
void
RemoveIfIdle(Context& aContext, SessionId aId);

} // namespace wigeonlb::core::traffic::internal
