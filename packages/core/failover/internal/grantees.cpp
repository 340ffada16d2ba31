#include "core/failover/internal/grantees.h"

#include <algorithm>
#include <set>

#include "core/failover/internal/groupcontext.h"

namespace wigeonlb::core::failover {

using foundation::Instant;

void
ProposeGrantees(FailoverState& aState,
                const wire::GroupState& aGroup,
                const foundation::HostId& aHost,
                Instant aNow,
                std::vector<FailoverAction>& aActions)
{
  auto& proposedAt = aState.groups_[aGroup.group()].granteesProposedAt_;
  if (proposedAt && aNow - *proposedAt < kRetryIntervalMs) {
    return;
  }
  proposedAt = aNow;
  const auto possible =
    grants::FindPossibleHolders(aState.grants_, aGroup, aNow);
  std::set<foundation::HostId> hosts(possible.begin(), possible.end());
  hosts.insert(aHost);
  for (const auto& owner : aState.owners_.at(aGroup.group()).owners_) {
    hosts.insert(owner);
  }
  wire::ControlRecord record;
  record.mutable_grantees()->set_group(aGroup.group());
  for (const auto& host : hosts) {
    record.mutable_grantees()->add_hosts(host);
  }
  aActions.push_back(Propose{ std::move(record) });
}

bool
RecordsGrantees(const FailoverState& aState, const wire::GroupState& aGroup)
{
  return aState.guards_.recordsGrantees_ &&
         GetAcknowledgement(aGroup) != Acknowledgement::Majority;
}

bool
IsGrantee(const wire::GroupState& aGroup, const foundation::HostId& aHost)
{
  return std::ranges::find(aGroup.grantees(), aHost) != aGroup.grantees().end();
}

} // namespace wigeonlb::core::failover
