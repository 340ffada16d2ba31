#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "forward.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "peer/peererrors.h"

namespace wigeonlb::peer {

//! Largest serialized message; larger ones are refused on both sides.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;

//! Silence of a peer after which it counts as lost: four pings, and above the
//! pauses of a host that is short of processor time.
inline constexpr std::chrono::milliseconds kLostAfterMs{ 800 };

//! Another host and where its links listen.
struct PeerEndpoint
{
  foundation::HostId host_;
  std::string address_; //!< `ip:port`
  //! The link is opened at once and stays open without use.
  bool keepOpen_ = false;

  bool operator==(const PeerEndpoint&) const = default;
};

//! What a link's bytes are counted under.
enum class TrafficClass : std::uint8_t
{
  Control, //!< consensus, heartbeats, grants, changes, pings
  Forward, //!< statements of callers and their answers
};

//! Settings of a host's links.
struct PeerLinksSettings
{
  foundation::HostId host_;
  std::uint64_t boot_ = 0;    //!< differs between two starts of the host
  std::string listenAddress_; //!< `ip:port`; port 0 picks a free one
  //! Of links that carry statements in flight, that are kept open, or that are
  //! not reachable yet.
  foundation::Duration pingInterval_ = kLostAfterMs / 4;
  //! Bounds the pings of other open links: with more of them than this allows
  //! they are pinged, and found lost, more slowly.
  std::uint32_t idlePingsPerSecond_ = 8;
  //! A peer is lost when a ping was not answered for this long.
  foundation::Duration lostAfter_ = kLostAfterMs;
  //! A link without messages is closed after this time. Longer than a
  //! transaction may stay idle, so that the loss of its caller's host is found.
  foundation::Duration closeAfter_ = std::chrono::seconds(35);
  //! Bounds of what waits for one peer, for each traffic class.
  std::size_t queueLimit_ = 10000;                                //!< messages
  std::size_t queueBytesLimit_ = std::size_t{ 16 } * 1024 * 1024; //!< bytes
  //! A message that waited longer is dropped: whoever sent it has given up.
  foundation::Duration queueAgeLimit_ = kLostAfterMs;
  //! Average that configuration snapshots may bring the control class to, in
  //! bytes a second over all peers; 0 means no limit.
  std::uint64_t controlRate_ = std::uint64_t{ 6 } * 1024;
  std::uint64_t controlBurst_ = std::uint64_t{ 256 } * 1024; //!< bytes
};

//! What happens on the links. All are called on the link thread and must not
//! block; any may be empty.
struct PeerLinksCallbacks
{
  std::function<void(wire::PeerMessage&&)> onMessage_;
  //! The first answer to a ping after the link was opened, or after a loss.
  std::function<void(const foundation::HostId&)> onPeerReachable_;
  //! A link that was opened was not answered in time, or not any more.
  std::function<void(const foundation::HostId&)> onPeerLost_;
};

//! Totals of one peer's link since SetPeers gave it its present address.
struct PeerCounters
{
  foundation::HostId host_;
  bool reachable_ = false;
  std::uint64_t controlBytesSent_ = 0;
  std::uint64_t controlBytesReceived_ = 0;
  std::uint64_t forwardBytesSent_ = 0;
  std::uint64_t forwardBytesReceived_ = 0;
  std::uint64_t messagesDropped_ = 0; //!< waited too long
  std::uint64_t snapshotsDelayed_ = 0;
  //! Last round trip of a ping; zero before the first.
  foundation::Duration roundTrip_{ 0 };
};

//! Links to other hosts. One thread owns every socket: a ROUTER that receives,
//! and for each peer with an open link a DEALER that sends to its ROUTER. A
//! link is opened when it's first used or pinged, and closed after idle time.
//! Pings and pongs ride on other messages where they can. Links are one way
//! each; the sender is named by PeerMessage.from and PeerMessage.boot,
//! which Send fills in.
//! NOTE Delivery is at most once. Within a traffic class, messages of one
//! thread arrive in the order of their Send, except that a configuration
//! snapshot may be delayed by the byte budget and arrive after later messages.
//! Snapshots are the chunks of a consensus snapshot, and heartbeat replies with
//! the whole set of groups and no grant; a later reply replaces a delayed one.
class PeerLinks
{
public:
  PeerLinks(PeerLinksSettings aSettings, PeerLinksCallbacks aCallbacks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  //! Binds and starts the link thread. Errors: BadAddress.
  std::error_code Start();

  //! Ends the link thread; messages that still wait are dropped.
  //! NOTE It can't be started again.
  void Stop();

  //! The `ip:port` bound by Start.
  std::string BoundAddress() const;

  //! Replaces the peers. A peer whose address stays keeps its link; an entry
  //! for this host itself is left out. Callable from any thread.
  void SetPeers(std::span<const PeerEndpoint> aPeers);

  //! Queues a message. Callable from any thread; never blocks on the network.
  //! Errors: UnknownPeer, QueueFull, Stopped, MessageTooLarge.
  std::error_code Send(std::string_view aHost, wire::PeerMessage aMessage);

  //! Opens a link without a message, or pings over an open one, so that the
  //! peer is found reachable or lost. Callable from any thread. Errors:
  //! UnknownPeer, Stopped.
  std::error_code CheckReachability(std::string_view aHost);

  //! Sets the average for the control class, in bytes a second; 0 for none.
  void SetControlRate(std::uint64_t aBytesPerSecond);

  //! Counters of the present peers, by host.
  std::vector<PeerCounters> Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace wigeonlb::peer
