#include "traffic/connectionstate.h"

#include <algorithm>

namespace wigeonlb::daemon::traffic {

namespace {

bool
HasUnrequestedValue(const ConnectionState& aState,
                    const wire::ForwardRequest& aRequest)
{
  return std::ranges::any_of(aState.values_, [&](const auto& aItem) {
    return std::ranges::none_of(aRequest.values(), [&](const auto& aValue) {
      return aValue.name() == aItem.first;
    });
  });
}

void
Reset(ConnectionState& aState,
      const target::Dialect& aDialect,
      std::vector<target::Query>& aQueries)
{
  aState = {};
  aQueries.push_back({ std::string(aDialect.resetStatement_) });
}

void
Prepare(ConnectionState& aState,
        const wire::PreparedStatement& aPrepared,
        std::vector<target::Query>& aQueries)
{
  if (aState.prepared_.insert(aPrepared.name()).second) {
    aQueries.push_back({ aPrepared.definition() });
  }
}

} // namespace

std::vector<target::Query>
BuildSetupQueries(ConnectionState& aState,
                  const wire::ForwardRequest& aRequest,
                  const target::Dialect& aDialect)
{
  std::vector<target::Query> queries;
  const bool begins = aRequest.statement_class() == wire::STATEMENT_BEGIN ||
                      aRequest.statement_class() == wire::STATEMENT_BEGIN_READ;
  const bool full = begins && aState.prepared_.size() >= kPreparedLimit;
  if (HasUnrequestedValue(aState, aRequest) || full) {
    Reset(aState, aDialect, queries);
  }
  for (const wire::SessionValue& value : aRequest.values()) {
    const auto [entry, added] = aState.values_.try_emplace(value.name());
    if (added || entry->second != value.value()) {
      entry->second = value.value();
      queries.push_back(
        { target::MakeSetStatement(aDialect, value.name(), value.value()) });
    }
  }
  if (aRequest.has_prepared()) {
    Prepare(aState, aRequest.prepared(), queries);
  }
  return queries;
}

} // namespace wigeonlb::daemon::traffic
