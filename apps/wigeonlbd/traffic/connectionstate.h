#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "forward.pb.h"
#include "target/dialect.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::traffic {

//! Session state that is set on a connection to a target. Connections are
//! shared by sessions, so it may come from several of them.
struct ConnectionState
{
  std::map<std::string, std::string> values_;
  std::set<std::string> prepared_; //!< names of prepared statements
};

//! Maximum number of prepared statements on one connection. When it is reached,
//! the next transaction resets the connection and drops all of them.
constexpr std::size_t kPreparedLimit = 256;

//! Returns the statements to run on a connection before a request. Afterwards
//! the connection has exactly the session values of the request, and the
//! prepared statement that it executes. Updates aState as if the statements had
//! run. Returns no statements if the connection has the right state already.
//! NOTE Within a transaction, session values are only added or changed, so a
//! reset never occurs inside one.
std::vector<target::Query>
BuildSetupQueries(ConnectionState& aState,
                  const wire::ForwardRequest& aRequest,
                  const target::Dialect& aDialect);

} // namespace wigeonlb::daemon::traffic
