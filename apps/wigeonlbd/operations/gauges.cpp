#include "operations/gauges.h"

namespace wigeonlb::daemon::operations {

namespace {

using foundation::MetricsRegistry;

void
SetPeerBytes(MetricsRegistry& aRegistry,
             std::string_view aClass,
             std::string_view aDirection,
             std::uint64_t aBytes)
{
  aRegistry
    .Gauge("wigeonlb_peer_bytes",
           { { "class", aClass }, { "direction", aDirection } })
    .Set(static_cast<double>(aBytes));
}

void
ExportOwnerGroup(const std::string& aName,
                 const traffic::OwnerGroup& aOwner,
                 MetricsRegistry& aRegistry)
{
  const core::traffic::TrafficGauges gauges =
    core::traffic::CollectGauges(aOwner.State());
  const core::traffic::TrafficCounters& counters = aOwner.State().counters_;
  const auto set = [&](std::string_view aMetric, std::uint64_t aValue) {
    aRegistry.Gauge(aMetric, { { "group", aName } })
      .Set(static_cast<double>(aValue));
  };
  set("wigeonlb_owner_queued", gauges.queued_);
  set("wigeonlb_owner_waiting_for_floor", gauges.waitingForFloor_);
  set("wigeonlb_owner_waiting_for_majority", gauges.waitingForMajority_);
  set("wigeonlb_owner_open_transactions", gauges.openTransactions_);
  set("wigeonlb_owner_connections", gauges.connections_);
  set("wigeonlb_owner_busy_connections", gauges.busyConnections_);
  set("wigeonlb_owner_reads_by_replica", counters.readsByReplica_);
  set("wigeonlb_owner_reads_by_primary", counters.readsByPrimary_);
  set("wigeonlb_owner_answers_dropped", counters.answersDropped_);
  set("wigeonlb_owner_handed_over_again", counters.statementRetries_);
  set("wigeonlb_owner_shed", counters.shed_);
  set("wigeonlb_owner_silent_connections", counters.unresponsiveConnections_);
  set("wigeonlb_owner_end_orders", counters.terminationRequests_);
  set("wigeonlb_owner_probes_sent", counters.probesSent_);
  set("wigeonlb_owner_transactions_given_up", counters.transactionsGivenUp_);
}

} // namespace

void
ExportPeerGauges(const peer::PeerLinks& aLinks, MetricsRegistry& aRegistry)
{
  peer::PeerCounters total;
  std::size_t reachable = 0;
  for (const peer::PeerCounters& peer : aLinks.Counters()) {
    total.controlBytesSent_ += peer.controlBytesSent_;
    total.controlBytesReceived_ += peer.controlBytesReceived_;
    total.forwardBytesSent_ += peer.forwardBytesSent_;
    total.forwardBytesReceived_ += peer.forwardBytesReceived_;
    total.messagesDropped_ += peer.messagesDropped_;
    reachable += peer.reachable_ ? 1 : 0;
  }
  SetPeerBytes(aRegistry, "control", "sent", total.controlBytesSent_);
  SetPeerBytes(aRegistry, "control", "received", total.controlBytesReceived_);
  SetPeerBytes(aRegistry, "forward", "sent", total.forwardBytesSent_);
  SetPeerBytes(aRegistry, "forward", "received", total.forwardBytesReceived_);
  aRegistry.Gauge("wigeonlb_peer_messages_dropped")
    .Set(static_cast<double>(total.messagesDropped_));
  aRegistry.Gauge("wigeonlb_peers_reachable")
    .Set(static_cast<double>(reachable));
}

void
ExportTrafficGauges(traffic::TrafficRuntime& aTraffic,
                    MetricsRegistry& aRegistry)
{
  aRegistry.Gauge("wigeonlb_sessions")
    .Set(static_cast<double>(aTraffic.SessionCount()));
  aTraffic.WithEachShard([&aRegistry](traffic::TrafficShard& aShard) {
    for (const auto& [name, owner] : aShard.Owners()) {
      ExportOwnerGroup(name, *owner, aRegistry);
    }
  });
}

} // namespace wigeonlb::daemon::operations
