#pragma once

#include <string>

#include "foundation/clock.h"
#include "testing/harness/pgclient.h"

namespace wigeonlb::testing::loadclient {

//! Connects to address:port. PQstatus() of the result is CONNECTION_OK if this
//! succeeded within the timeout.
harness::PgConnection
ConnectWithTimeout(const std::string& aAddress,
                   const std::string& aGroup,
                   const std::string& aExtraOptions,
                   foundation::Duration aTimeout);

//! Runs a query text and returns its last result set, or its first error. The
//! error is 08006 if the answer is incomplete at the timeout; the connection is
//! then unusable.
harness::QueryResult
RunWithTimeout(PGconn& aConnection,
               const std::string& aSql,
               foundation::Duration aTimeout);

} // namespace wigeonlb::testing::loadclient
