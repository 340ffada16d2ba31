#pragma once

#include <string>
#include <string_view>

#include "core/traffic/actions.h"
#include "foundation/identifiers.h"
#include "target/dialect.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::traffic {

//! Returns the statements that terminate sessions and transactions on a target,
//! in its dialect. aOwnName is the application name of this host's connections.
//! Empty if there is nothing to terminate or the dialect has no such statement.
std::string
BuildTerminationStatements(
  const target::Dialect& aDialect,
  const core::traffic::SessionTerminations& aTerminations,
  std::string_view aOwnName);

//! The terminations that are sent with a probe.
struct ProbeTerminations
{
  std::string statements_; //!< run after the status statement
  bool refused_ = false;   //!< the target has refused one before
};

//! Logs a warning the first time that the target refuses to terminate sessions.
void
LogRefusedTerminations(ProbeTerminations& aTerminations,
                       const foundation::GroupName& aGroup,
                       const foundation::TargetName& aTarget,
                       const target::SqlError& aError);

} // namespace wigeonlb::daemon::traffic
