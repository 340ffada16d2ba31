#pragma once

#include <atomic>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <tbb/concurrent_queue.h>
#include <zmq.hpp>

#include "foundation/tokenbucket.h"
#include "peer/internal/messageclass.h"
#include "peer/internal/pingstate.h"
#include "peer/peerlinks.h"

namespace wigeonlb::peer {

//! A serialized message to one peer.
struct OutgoingMessage
{
  std::string payload_;
  TrafficClass class_ = TrafficClass::Control;
  SnapshotKind snapshot_ = SnapshotKind::None;
  int requests_ = 0;    //!< 1 for a statement, -1 for the end of its result
  bool answer_ = false; //!< part of a result; outlives a loss of the peer
  foundation::Instant queuedAt_{};
};

//! Bounded queue; written by any thread, read by the link thread.
struct OutgoingQueue
{
  tbb::concurrent_bounded_queue<OutgoingMessage> messages_;
  std::atomic<std::size_t> bytes_{ 0 };
  std::size_t bytesLimit_ = 0;
  //! Message that was removed from the queue when the socket's queue was full.
  //! Used by the link thread only.
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

//! One peer: its queued messages, its socket and its state.
struct Link : boost::intrusive_ref_counter<Link, boost::thread_safe_counter>
{
  PeerEndpoint endpoint_;
  OutgoingQueue control_;
  OutgoingQueue forward_;
  LinkCounters counters_;
  std::atomic<bool> reachable_{ false };
  std::atomic<bool> queued_{ false }; //!< is in LinkTable::ready_
  //! PeerLinks::CheckReachability was called.
  std::atomic<bool> checkRequested_{ false };

  // The members below are used by the link thread only.
  zmq::socket_t dealer_; //!< empty while the link is closed
  std::deque<OutgoingMessage> delayed_;
  PingState pings_;
  foundation::Instant openedAt_{};
  //! When to send again after the socket refused a ping or pong.
  foundation::Instant retryAt_{};
  foundation::Instant lastHeard_{};  //!< when the peer last sent a message
  foundation::Instant lastUsed_{};   //!< by messages other than pings
  foundation::Instant lastPinged_{}; //!< when the peer last sent a ping
  std::uint64_t boot_ = 0; //!< latest boot number of the peer; 0: unknown
  //! Former boots, to ignore their late messages.
  std::set<std::uint64_t> formerBoots_;
  std::size_t inFlight_ = 0; //!< statements whose result is not complete
  //! When the peer was last lost. Messages queued before are dropped, except
  //! for answers: the peer may only have been silent, and still wait for them.
  foundation::Instant lostAt_{};
  bool lost_ = false;     //!< the loss was reported; no response since
  bool dropped_ = false;  //!< the host was removed by SetPeers
  bool flushing_ = false; //!< is in LinkThread::pendingLinks_
  //! The socket's queue was full at the last message.
  bool blocked_ = false;
};

using LinkPtr = boost::intrusive_ptr<Link>;

//! Creates a closed link.
LinkPtr
MakeLink(const PeerEndpoint& aEndpoint, const PeerLinksSettings& aSettings);

//! Opens the link's socket; an open one is closed first. Errors: BadAddress.
std::error_code
OpenSocket(Link& aLink, zmq::context_t& aContext);

//! Closes the link's socket and resets the state of the peer, except for a
//! loss.
void
CloseSocket(Link& aLink);

//! Updates the number of statements in flight by 1, 0 or -1.
void
UpdateInFlight(Link& aLink, int aChange);

//! Returns true while messages are queued or delayed.
bool
HasPendingMessages(const Link& aLink);

//! Queues a message. Errors: QueueFull.
std::error_code
Enqueue(OutgoingQueue& aQueue, OutgoingMessage&& aMessage);

//! Sends without blocking, and updates the byte counters. Returns false if the
//! socket's queue is full or the socket is not connected yet.
bool
SendNow(Link& aLink, std::string_view aPayload, TrafficClass aClass);

//! Whether messages should tell the peer where this host listens: it may not
//! know it, or may have started again since it was last heard.
bool
NeedsIntroduction(const Link& aLink, foundation::Instant aNow);

//! Parameters for sending from a queue.
struct SendContext
{
  foundation::Instant now_;
  foundation::Duration ageLimit_;
  foundation::Duration answerAgeLimit_;
  //! A ping is piggybacked on a message when the last ping is at least this
  //! old, with and without a response being awaited.
  foundation::Duration minPingAge_;
  foundation::Duration idleMinPingAge_;
  foundation::TokenBucket* budget_;
  std::string_view announcedAddress_; //!< of this host
};

//! Sends the queued messages, control messages first, until the socket's queue
//! is full.
void
FlushLink(Link& aLink, const SendContext& aContext);

//! Drops all queued and delayed messages, for a peer that was removed.
void
DropPendingMessages(Link& aLink);

//! Drops all queued and delayed messages but answers, for a peer that was lost.
void
DropMessagesOfLoss(Link& aLink, foundation::Instant aNow);

PeerCounters
ReadCounters(const Link& aLink);

} // namespace wigeonlb::peer
