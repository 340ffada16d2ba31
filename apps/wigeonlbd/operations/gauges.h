#pragma once

#include "foundation/metrics.h"
#include "peer/peerlinks.h"
#include "traffic/trafficruntime.h"

namespace wigeonlb::daemon::operations {

//! Sets the gauges of the links to other hosts: bytes by class and direction
//! over all peers, dropped messages, and reachable peers.
void
ExportPeerGauges(const peer::PeerLinks& aLinks,
                 foundation::MetricsRegistry& aRegistry);

//! Sets the gauge of sessions. Those of the owner groups are set later, on the
//! traffic threads.
void
ExportTrafficGauges(traffic::TrafficRuntime& aTraffic,
                    foundation::MetricsRegistry& aRegistry);

} // namespace wigeonlb::daemon::operations
