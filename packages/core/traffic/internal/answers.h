#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

void
OnStatementFinished(Context& aContext, const StatementFinished& aEvent);
void
OnReadProbeAnswered(Context& aContext, const ReadProbeAnswered& aEvent);
void
OnConnectionClosed(Context& aContext, const ConnectionClosed& aEvent);

//! Circumstances under which a connection ends.
struct ConnectionLoss
{
  //! The driver must close the connection.
  bool close_ = true;
  //! Rows that were not held back may have been forwarded to the caller.
  bool rowsForwarded_ = true;
};

//! Removes a connection that was lost or must be closed, and finishes or
//! retries the request and aborts the transaction that it carried.
void
OnConnectionLost(Context& aContext,
                 Connection& aConnection,
                 const ConnectionLoss& aLoss);

} // namespace wigeonlb::core::traffic::internal
