#pragma once

#include <atomic>
#include <deque>
#include <optional>
#include <string>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <tbb/concurrent_queue.h>
#include <zmq.hpp>

#include "foundation/tokenbucket.h"
#include "peer/internal/messageclass.h"
#include "peer/internal/pingstate.h"
#include "peer/peerlinks.h"

namespace wigeonlb::peer {

//! A serialized message on its way to one peer.
struct OutgoingMessage
{
  std::string payload_;
  TrafficClass class_ = TrafficClass::Control;
  SnapshotKind snapshot_ = SnapshotKind::None;
  int requests_ = 0; //!< 1 for a statement, -1 for the end of its answer
  foundation::Instant queuedAt_{};
};

//! Bounded queue that any thread may fill and the link thread empties.
struct OutgoingQueue
{
  tbb::concurrent_bounded_queue<OutgoingMessage> messages_;
  std::atomic<std::size_t> bytes_{ 0 };
  std::size_t bytesLimit_ = 0;
  //! The link thread's: taken from the queue, but the socket had no room.
  std::optional<OutgoingMessage> unsent_;
};

//! Totals of a link, written by the link thread.
struct LinkCounters
{
  std::atomic<std::uint64_t> controlSent_{ 0 };
  std::atomic<std::uint64_t> controlReceived_{ 0 };
  std::atomic<std::uint64_t> forwardSent_{ 0 };
  std::atomic<std::uint64_t> forwardReceived_{ 0 };
  std::atomic<std::uint64_t> dropped_{ 0 };
  std::atomic<std::uint64_t> snapshotsDelayed_{ 0 };
  std::atomic<std::int64_t> roundTripUs_{ 0 };
};

//! One peer: what waits for it, its socket, and what is known of it.
struct Link : boost::intrusive_ref_counter<Link, boost::thread_safe_counter>
{
  PeerEndpoint endpoint_;
  OutgoingQueue control_;
  OutgoingQueue forward_;
  LinkCounters counters_;
  std::atomic<bool> reachable_{ false };
  std::atomic<bool> queued_{ false }; //!< stands in LinkTable::ready_
  std::atomic<bool> checkRequested_{
    false
  }; //!< is to be opened without a message

  // Below: the link thread's only.
  zmq::socket_t dealer_; //!< none while the link is closed
  std::deque<OutgoingMessage> delayed_;
  PingState pings_;
  foundation::Instant openedAt_{};
  foundation::Instant retryAt_{};    //!< the socket had no room for a ping
  foundation::Instant lastUsed_{};   //!< by messages other than pings
  foundation::Instant lastPinged_{}; //!< by the peer
  std::uint64_t boot_ = 0;           //!< of the peer, as last heard; 0: none
  std::uint64_t formerBoot_ = 0;     //!< the boot before; late messages of it
  std::size_t inFlight_ = 0; //!< statements without the end of their answer
  bool lost_ = false;        //!< the loss was told, no answer since
  bool dropped_ = false;     //!< no peer any more
  bool flushing_ = false;    //!< stands in the link thread's list of work
  //! Whether the socket had no room for the last message.
  bool blocked_ = false;
};

using LinkPtr = boost::intrusive_ptr<Link>;

//! A link without a socket.
LinkPtr
MakeLink(const PeerEndpoint& aEndpoint, const PeerLinksSettings& aSettings);

//! Opens the link's socket, in place of one that it may have.
//! Errors: BadAddress.
std::error_code
OpenSocket(Link& aLink, zmq::context_t& aContext);

//! Closes the link's socket and forgets what was known of the peer but a loss.
void
CloseSocket(Link& aLink);

//! Counts a statement that was handed over, or the end of its answer.
void
UpdateInFlight(Link& aLink, int aChange);

//! True while something waits to be sent.
bool
HasPendingMessages(const Link& aLink);

//! Queues a message. Errors: QueueFull.
std::error_code
Enqueue(OutgoingQueue& aQueue, OutgoingMessage&& aMessage);

//! Sends without waiting, and counts. Returns false if the socket has no room
//! or is not connected yet.
bool
SendNow(Link& aLink, std::string_view aPayload, TrafficClass aClass);

//! What sending from a queue depends on.
struct SendContext
{
  foundation::Instant now_;
  foundation::Duration ageLimit_;
  //! Ages of the last ping for another to ride on a message, with and without
  //! somebody waiting for an answer.
  foundation::Duration minPingAge_;
  foundation::Duration idleMinPingAge_;
  foundation::TokenBucket* budget_;
};

//! Sends what waits, control first, until the socket has no room.
void
FlushLink(Link& aLink, const SendContext& aContext);

//! Forgets what waits, as for a peer that was lost.
void
DropPendingMessages(Link& aLink);

PeerCounters
ReadCounters(const Link& aLink);

} // namespace wigeonlb::peer
