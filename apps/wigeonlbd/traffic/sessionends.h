#pragma once

#include <string>
#include <string_view>

#include "core/traffic/actions.h"
#include "foundation/identifiers.h"
#include "target/dialect.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::traffic {

//! The statements that end what a probe is to end, in the target's dialect.
//! aOwnName is the name under which this host connects. Empty when there is
//! nothing to end, or the dialect can't.
std::string
BuildTerminationStatements(const target::Dialect& aDialect,
                           const core::traffic::SessionTerminations& aEnds,
                           std::string_view aOwnName);

//! What a probe ends at its target.
struct ProbeEnds
{
  std::string statements_; //!< go after the status statement
  bool refused_ = false;   //!< the target has refused some
};

//! Logs it when the target refuses to end sessions, the first time.
void
NoteAnswer(ProbeEnds& aEnds,
           const foundation::GroupName& aGroup,
           const foundation::TargetName& aTarget,
           const target::SqlError& aError);

} // namespace wigeonlb::daemon::traffic
