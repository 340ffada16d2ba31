#include "traffic/sessionterminations.h"

#include "foundation/logging.h"

namespace wigeonlb::daemon::traffic {

namespace {

void
Append(std::string& aMessage, const std::string& aStatement)
{
  if (!aMessage.empty() && !aStatement.empty()) {
    aMessage += "; ";
  }
  aMessage += aStatement;
}

} // namespace

std::string
BuildTerminationStatements(
  const target::Dialect& aDialect,
  const core::traffic::SessionTerminations& aTerminations,
  std::string_view aOwnName)
{
  std::string message;
  for (const auto backend : aTerminations.backends_) {
    Append(message,
           target::MakeEndSessionStatement(aDialect, backend, aOwnName));
  }
  for (const auto& name : aTerminations.names_) {
    if (name != aOwnName) {
      Append(message,
             target::MakeEndTransactionsStatement(
               aDialect, name, aTerminations.age_));
    }
  }
  return message;
}

void
LogRefusedTerminations(ProbeTerminations& aTerminations,
                       const foundation::GroupName& aGroup,
                       const foundation::TargetName& aTarget,
                       const target::SqlError& aError)
{
  const bool refused =
    !aTerminations.statements_.empty() && !aError.sqlstate_.empty();
  if (refused && !aTerminations.refused_) {
    foundation::LogWarning("owner",
                           "sessions-not-ended",
                           { { "group", aGroup },
                             { "target", aTarget },
                             { "error", aError.message_ } });
  }
  aTerminations.refused_ |= refused;
}

} // namespace wigeonlb::daemon::traffic
