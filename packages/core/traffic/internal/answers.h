#pragma once

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

void
OnStatementFinished(Context& aContext, const StatementFinished& aEvent);
void
OnReadProbeSeen(Context& aContext, const ReadProbeAnswered& aEvent);
void
OnConnectionClosed(Context& aContext, const ConnectionClosed& aEvent);

//! Settles what a connection carried that is lost, or is to be closed, and
//! forgets it.
struct ConnectionLoss
{
  //! The driver is told to close it.
  bool close_ = true;
  //! Rows that were not held back may have gone on to the caller.
  bool rowsForwarded_ = true;
};
void
OnConnectionLost(Context& aContext,
                 Connection& aConnection,
                 const ConnectionLoss& aLoss);

} // namespace wigeonlb::core::traffic::internal
