#pragma once

#include <string>

#include "foundation/clock.h"
#include "testing/harness/pgclient.h"

namespace wigeonlb::testing::loadclient {

//! Connects within the timeout; PQstatus tells whether it did.
harness::PgConnection
ConnectWithTimeout(const std::string& aAddress,
                   const std::string& aGroup,
                   const std::string& aExtraOptions,
                   foundation::Duration aTimeout);

//! Runs a query text and returns its last result set, or its first
//! error. An answer that isn't
//! whole within the timeout gives 08006; the connection is then of no more use.
harness::QueryResult
RunWithTimeout(PGconn& aConnection,
               const std::string& aSql,
               foundation::Duration aTimeout);

} // namespace wigeonlb::testing::loadclient
