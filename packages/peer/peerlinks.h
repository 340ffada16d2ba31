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

//! Maximum size of a serialized message; larger ones are refused on both sides.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 16 } * 1024 * 1024;

//! A peer that does not respond for this long is considered lost, or later if
//! this host was held up: a ping that it sent since must be unanswered too.
//! Four ping intervals, and longer than the scheduling delays of an overloaded
//! host.
inline constexpr std::chrono::milliseconds kLostAfterMs{ 800 };

//! Another host and the address that its links listen on.
struct PeerEndpoint
{
  foundation::HostId host_;
  std::string address_; //!< `ip:port`
  //! The link is opened immediately and stays open while it is unused.
  bool keepOpen_ = false;

  bool operator==(const PeerEndpoint&) const = default;
};

//! Class under which the bytes of a link are counted.
enum class TrafficClass : std::uint8_t
{
  Control, //!< consensus, heartbeats, grants, changes, pings
  Forward, //!< statements of callers and their results
};

//! Settings of a host's links.
struct PeerLinksSettings
{
  foundation::HostId host_;
  std::uint64_t boot_ = 0;    //!< changes with every start of the host
  std::string listenAddress_; //!< `ip:port`; port 0 picks a free one
  //! `ip:port` that the peers connect to. A peer that does not know this host
  //! learns it from the first messages. Empty: it does not.
  std::string announcedAddress_;
  //! Ping interval of links with statements in flight, of links that are kept
  //! open, and of links that are not reachable yet.
  foundation::Duration pingInterval_ = kLostAfterMs / 4;
  //! Limits the total rate of pings on all other open links. With many such
  //! links the interval per link grows, and so does the time to detect a loss.
  std::uint32_t idlePingsPerSecond_ = 8;
  //! A peer is lost when a ping is not answered within this time.
  foundation::Duration lostAfter_ = kLostAfterMs;
  //! A link without messages is closed after this time. It is longer than a
  //! transaction may stay idle, so that the link of an open transaction still
  //! detects the loss of its caller's host.
  foundation::Duration closeAfter_ = std::chrono::seconds(35);
  //! Limits of the queue to one peer, per traffic class.
  std::size_t queueLimit_ = 10000;                                //!< messages
  std::size_t queueBytesLimit_ = std::size_t{ 16 } * 1024 * 1024; //!< bytes
  //! A message that was queued for longer is dropped, because its sender has
  //! timed out. Not the result of a statement, for which the peer may wait.
  foundation::Duration queueAgeLimit_ = kLostAfterMs;
  //! The same for results of statements. As long as an owner keeps an idle
  //! transaction by default, and shorter than closeAfter_.
  foundation::Duration answerAgeLimit_ = std::chrono::seconds(30);
  //! Average rate of configuration snapshots, in bytes per second over all
  //! peers; 0 means no limit. Snapshots beyond it are delayed. Other messages
  //! count for nothing here, or many hosts' heartbeats would use it all.
  std::uint64_t snapshotRate_ = std::uint64_t{ 6 } * 1024;
  std::uint64_t snapshotBurst_ = std::uint64_t{ 256 } * 1024; //!< bytes
};

//! Callbacks for events on the links. They are called on the link thread and
//! must not block; each may be empty.
struct PeerLinksCallbacks
{
  std::function<void(wire::PeerMessage&&)> onMessage_;
  //! The first pong was received after the link was opened, or after a loss.
  std::function<void(const foundation::HostId&)> onPeerReachable_;
  //! The peer of an open link did not respond in time, or was removed by
  //! SetPeers.
  std::function<void(const foundation::HostId&)> onPeerLost_;
  //! The peer of an open link has started again, and now has this boot number.
  //! Messages sent since its former start may have reached either start.
  std::function<void(const foundation::HostId&, std::uint64_t)>
    onPeerRestarted_;
};

//! Totals of one peer's link since SetPeers set its current address.
struct PeerCounters
{
  foundation::HostId host_;
  bool reachable_ = false;
  std::uint64_t controlBytesSent_ = 0;
  std::uint64_t controlBytesReceived_ = 0;
  std::uint64_t forwardBytesSent_ = 0;
  std::uint64_t forwardBytesReceived_ = 0;
  std::uint64_t messagesDropped_ = 0; //!< queued but not sent
  std::uint64_t snapshotsDelayed_ = 0;
  //! Round-trip time of the last ping; zero before the first.
  foundation::Duration roundTrip_{ 0 };
};

//! Links to other hosts. One thread owns all sockets: a ROUTER that receives,
//! and a DEALER per peer with an open link that sends to the peer's ROUTER. A
//! link is opened when it is first used or the peer pings, and closed after an
//! idle time. Pings and pongs are piggybacked on other messages where possible.
//! A host that is not in the list of peers yet can be answered: its messages
//! tell its address until it has heard from this host.
//! Each link is unidirectional; PeerMessage.from and PeerMessage.boot, which
//! Send fills in, identify the sender.
//! NOTE Delivery is at most once. Within a traffic class, messages that one
//! thread sends arrive in order, except that a configuration snapshot may be
//! delayed by the byte budget and arrive after later messages. Snapshots are
//! the chunks of a consensus snapshot, and heartbeat replies with the whole set
//! of groups and no grant; a later such reply replaces a delayed one.
class PeerLinks
{
public:
  PeerLinks(PeerLinksSettings aSettings, PeerLinksCallbacks aCallbacks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  //! Binds and starts the link thread. Errors: BadAddress.
  std::error_code Start();

  //! Stops the link thread. Messages that are queued are sent first, for at
  //! most this time; the rest is dropped.
  //! NOTE The links can't be started again.
  void Stop(foundation::Duration aSendLimit = foundation::Duration::zero());

  //! The `ip:port` that Start has bound.
  std::string BoundAddress() const;

  //! Replaces the peers. The link of a peer whose entry is unchanged is kept;
  //! an entry for this host is ignored. Peers that are known only by their own
  //! messages stay until their link is closed. Callable from any thread.
  void SetPeers(std::span<const PeerEndpoint> aPeers);

  //! Queues a message. Callable from any thread; never blocks on the network.
  //! Errors: UnknownPeer, QueueFull, Stopped, MessageTooLarge.
  std::error_code Send(std::string_view aHost, wire::PeerMessage aMessage);

  //! Opens the link if it is closed, otherwise sends a ping, so that the peer
  //! is reported as reachable or lost. Callable from any thread. Errors:
  //! UnknownPeer, Stopped.
  std::error_code CheckReachability(std::string_view aHost);

  //! Sets the rate limit of snapshots, in bytes per second; 0 for none.
  void SetSnapshotRate(std::uint64_t aBytesPerSecond);

  //! Counters of the current peers, sorted by host.
  std::vector<PeerCounters> Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace wigeonlb::peer
