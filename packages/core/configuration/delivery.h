#pragma once

#include <map>
#include <optional>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"

//! What a control member sends of the configuration to each host.
namespace wigeonlb::core::configuration {

//! Minimum time between two whole configurations for one host that holds no
//! grant: the first one may still be on its way.
constexpr foundation::Duration kWholeIntervalMs =
  std::chrono::milliseconds(1000);

//! What the hosts have, as a control member knows it.
struct Delivery
{
  //! Revision in force on each host, as reported by its last heartbeat.
  std::map<foundation::HostId, foundation::Revision> inForce_;
  //! When each host was last sent the whole configuration.
  std::map<foundation::HostId, foundation::Instant> wholeSentAt_;
};

//! Adds to a reply which revision is the newest here, and the changes that the
//! host lacks. A host that needs the whole configuration gets it in the
//! returned message, which the byte budget may delay: the host must not wait so
//! long for the reply itself. Grants go together with the configuration that
//! they need.
std::optional<wire::HeartbeatReply>
AddConfiguration(Delivery& aDelivery,
                 const wire::ControlState& aState,
                 const foundation::HostId& aHost,
                 foundation::Instant aNow,
                 wire::HeartbeatReply& aReply);

} // namespace wigeonlb::core::configuration
