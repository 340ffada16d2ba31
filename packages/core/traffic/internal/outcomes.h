#pragma once

#include <string>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! The live request with this id, or null.
Request*
FindRequest(Group& aGroup, const RequestId& aId);

//! Removes a request from the queue or list in which it waits.
void
Unqueue(Request& aRequest);

//! Finishes a request with the given outcome and destroys it.
void
FinishRequest(Context& aContext, Request& aRequest, Finish aFinish);

//! Finishes a request that was not run. If it may have run on a target, its
//! outcome is unknown instead. A transaction that it belongs to is aborted.
void
FinishNotRun(Context& aContext,
             Request& aRequest,
             std::string aSqlstate,
             std::string aMessage,
             Duration aRetryAfter,
             bool aTryAnotherOwner = false);

//! FinishNotRun because no grant is held or it is being revoked. After some
//! time without a grant the entry host is advised to try another owner, because
//! this host may be cut off only from the control leader. The advice is delayed
//! until links to hosts that were cut off together with the leader are detected
//! as lost; a request sent over such a link would have an unknown outcome.
void
FinishNoGrant(Context& aContext, Request& aRequest);

//! Finishes a request whose outcome cannot be determined. It must have been
//! detached from its connection before.
void
FinishUnknown(Context& aContext, Request& aRequest, std::string aMessage);

//! Aborts the open transaction of a session: closes its connection. Further
//! statements of the session are rejected until it ends the transaction.
void
AbortTransaction(Context& aContext, Session& aSession);

//! Removes a session without a request or transaction.
void
RemoveIfIdle(Context& aContext, SessionId aId);

} // namespace wigeonlb::core::traffic::internal
