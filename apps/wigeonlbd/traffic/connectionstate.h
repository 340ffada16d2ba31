#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "forward.pb.h"
#include "target/dialect.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::traffic {

//! What a connection to a target was given by the sessions that used it.
struct ConnectionState
{
  std::map<std::string, std::string> values_;
  std::set<std::string> prepared_; //!< names of prepared statements
};

//! Prepared statements that one connection keeps; at more all are dropped.
constexpr std::size_t kPreparedLimit = 256;

//! Statements that make a connection fit for a request: the session's values
//! and no others, and the prepared statement that is executed. aState is moved
//! on as if they had run. Empty when the connection fits already.
//! NOTE Within a transaction a session's values only grow or change, so that
//! no reset falls into one.
std::vector<target::Query>
BuildSetupQueries(ConnectionState& aState,
                  const wire::ForwardRequest& aRequest,
                  const target::Dialect& aDialect);

} // namespace wigeonlb::daemon::traffic
