#include "control/quotaservice.h"

#include <utility>

namespace wigeonlb::daemon::control {

namespace quota = core::quota;

QuotaService::QuotaService(quota::Tolerance aTolerance,
                           const ConsensusMember& aMember,
                           const LeaderDriver& aLeader,
                           PeerPort& aPort)
  : member_(aMember)
  , leader_(aLeader)
  , port_(aPort)
{
  allocator_.tolerance_ = aTolerance;
}

void
QuotaService::OnRequest(const foundation::HostId& aFrom,
                        const wire::QuotaRequest& aRequest)
{
  wire::PeerMessage message;
  wire::QuotaReply& reply = *message.mutable_quota_reply();
  if (leader_.IsLeading() && member_.HoldsLease()) {
    const foundation::Instant now = foundation::SteadyNow();
    Update(now);
    reply = quota::Allocate(allocator_, aFrom, aRequest, now);
  } else {
    reply.set_sequence(aRequest.sequence());
    reply.set_boot(aRequest.boot());
    reply.set_shard(aRequest.shard());
    reply.set_leader_hint(leader_.LeaderHint());
  }
  port_.SendControl(aFrom, std::move(message));
}

void
QuotaService::Update(foundation::Instant aNow)
{
  const std::uint64_t term = member_.Consensus().hardState_.term();
  if (term != term_) {
    term_ = term;
    quota::StartLeading(allocator_, aNow);
  }
  const wire::ControlState& state = member_.Control();
  if (revision_ == state.revision()) {
    return;
  }
  revision_ = state.revision();
  std::map<foundation::Tenant, quota::Limit> limits;
  for (const auto& [name, organisation] : state.organisations()) {
    if (organisation.has_rate_per_s()) {
      limits[name] = { organisation.rate_per_s(), organisation.burst() };
    }
  }
  quota::SetLimits(allocator_, limits, aNow);
}

} // namespace wigeonlb::daemon::control
