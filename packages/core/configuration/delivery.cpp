#include "core/configuration/delivery.h"

#include "core/configuration/delta.h"

namespace wigeonlb::core::configuration {

std::optional<wire::HeartbeatReply>
AddConfiguration(Delivery& aDelivery,
                 const wire::ControlState& aState,
                 const foundation::HostId& aHost,
                 foundation::Instant aNow,
                 wire::HeartbeatReply& aReply)
{
  const auto inForce = aDelivery.inForce_.find(aHost);
  const foundation::Revision revision =
    inForce == aDelivery.inForce_.end() ? 0 : inForce->second;
  wire::HeartbeatReply configuration = DeltaSince(aState, revision);
  if (!configuration.whole() || aReply.grants_size() > 0) {
    aReply.MergeFrom(configuration);
    return std::nullopt;
  }
  //! NOTE A host that has an older revision ignores a reply that is based on
  //! this one, but learns that there is a newer configuration than its own.
  aReply.set_revision(configuration.revision());
  aReply.set_base_revision(configuration.revision());
  const auto [sent, first] = aDelivery.wholeSentAt_.try_emplace(aHost, aNow);
  if (!first && aNow - sent->second < kWholeIntervalMs) {
    return std::nullopt;
  }
  sent->second = aNow;
  configuration.set_from(aReply.from());
  configuration.set_boot(aReply.boot());
  configuration.set_confirmed(aReply.confirmed());
  return configuration;
}

} // namespace wigeonlb::core::configuration
