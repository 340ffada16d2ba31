#pragma once

#include <functional>
#include <string>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/metrics.h"
#include "http/httprouter.h"
#include "operator/statements.h"
#include "operator/table.h"

namespace wigeonlb::operators {

//! The result of a query: a table or an error message.
struct QueryAnswer
{
  Table table_;
  std::string error_; //!< empty if table_ is valid
};

//! What is known about a change that an operator submitted.
enum class ChangeState
{
  Decided,    //!< result_ states whether it was accepted
  NotDecided, //!< it was not sent to a leader and will not be applied
  Unknown,    //!< sent, but no reply received; resend with the same id
};

struct ChangeAnswer
{
  ChangeState state_ = ChangeState::Unknown;
  wire::ChangeResult result_;
  std::string message_; //!< the reason if state_ is not Decided
  foundation::Duration retryAfter_ = std::chrono::seconds(1);
};

//! The functions of the daemon that the operator's routes call. They are called
//! on the HTTP server's executor and must not block. Each must invoke its
//! completion handler exactly once, immediately or later, from any thread.
struct OperatorCallbacks
{
  using QueryDone = std::function<void(QueryAnswer)>;
  using ChangeDone = std::function<void(ChangeAnswer)>;

  //! Returns all rows of a table; the route applies the conditions. Not called
  //! for Metrics, which are read from the registry.
  std::function<void(ShowKind, QueryDone)> show_;
  //! Returns the last decisions about a group and their reasons.
  std::function<void(const foundation::GroupName&, QueryDone)> why_;
  //! Returns the targets that may serve a read now, and for each other target
  //! the reason why it may not.
  std::function<void(const ExplainReadStatement&, QueryDone)> explain_;
  std::function<void(wire::ConfigurationChange, ChangeDone)> submitChange_;
};

//! Adds `POST /statement` and `GET /metrics`. The registry must outlive the
//! router.
//!
//! `POST /statement` expects statements in its body, and `format` (`table` or
//! `json`), `operator` and `change_id` as query parameters or headers. All
//! statements of one body that change the configuration form one change; a body
//! can't contain both changes and queries. A change without an id gets a random
//! one. Status: 200; 400 with all findings; 409 for a refused change; 503 with
//! Retry-After when a change is not decided or its state is unknown.
void
RegisterOperatorRoutes(http::HttpRouter& aRouter,
                       OperatorCallbacks aCallbacks,
                       foundation::MetricsRegistry& aMetrics);

} // namespace wigeonlb::operators
