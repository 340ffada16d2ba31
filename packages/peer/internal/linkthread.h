#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <set>
#include <shared_mutex>
#include <string>
#include <thread>
#include <vector>

#include "peer/internal/busywindow.h"
#include "peer/internal/linkhealth.h"

namespace wigeonlb::peer {

//! State shared by the link thread and the threads that use PeerLinks.
struct LinkTable
{
  mutable std::shared_mutex mutex_; //!< guards links_
  std::map<foundation::HostId, LinkPtr, std::less<>> links_;

  //! Links with queued messages or a requested reachability check.
  tbb::concurrent_queue<LinkPtr> ready_;

  //! Hosts in links_ that SetPeers has not listed; known by their own messages.
  std::set<foundation::HostId, std::less<>> unlisted_; //!< guarded by mutex_

  std::atomic<std::uint64_t> version_{ 0 }; //!< incremented when links_ changes
  std::atomic<std::uint64_t> snapshotRate_{ 0 };
};

//! Returns the link of a host, or null.
LinkPtr
FindLink(const LinkTable& aTable, std::string_view aHost);

//! The thread that owns all sockets of a host's links.
class LinkThread
{
public:
  LinkThread(const PeerLinksSettings& aSettings,
             const PeerLinksCallbacks& aCallbacks,
             LinkTable& aTable);
  ~LinkThread();
  LinkThread(const LinkThread&) = delete;
  LinkThread& operator=(const LinkThread&) = delete;

  //! Binds the socket and starts the thread. Errors: BadAddress.
  std::error_code Start();
  //! Sends the queued messages for at most aSendLimit, and stops the thread.
  void Stop(foundation::Duration aSendLimit);

  //! Wakes the thread up. Callable from any thread.
  void Wake();

  const std::string& BoundAddress() const { return boundAddress_; }

private:
  void Run();
  void UpdateLinks();
  void ReceiveMessages();
  void Receive(const zmq::message_t& aFrame);
  //! Adds a peer that is known only by its own message. Returns null if the
  //! message does not tell its address, or if there are too many such peers.
  LinkPtr AddUnlistedPeer(const wire::PeerMessage& aMessage);
  void RemoveUnusedUnlistedPeers();
  void CheckBoot(Link& aLink, std::uint64_t aBoot);
  void ProcessPings(Link& aLink, const wire::PeerMessage& aMessage);
  void ProcessPong(Link& aLink, const wire::PeerPing& aPong);
  void Open(Link& aLink, foundation::Instant aNow);
  void CheckLinks(foundation::Instant aNow);
  void CheckLink(Link& aLink, foundation::Instant aNow);
  LinkPolicy Policy() const { return { settings_, idleInterval_ }; }
  void Ping(Link& aLink, foundation::Instant aNow);
  void Pong(Link& aLink, foundation::Instant aNow);
  void MarkLost(Link& aLink);
  void FlushLinks(foundation::Instant aNow);
  //! Sends what is queued until sendUntil_. Nothing is received meanwhile.
  void SendQueuedMessages();
  void CloseLinks();
  std::chrono::milliseconds ComputeWaitTime() const;
  void Wait();
  void DrainWakeUps();

  const PeerLinksSettings& settings_;
  const PeerLinksCallbacks& callbacks_;
  LinkTable& table_;
  zmq::context_t context_;
  zmq::socket_t router_;
  std::string boundAddress_;
  int wakeFd_ = -1;
  std::atomic<bool> wakePending_{ false };
  std::atomic<bool> stopping_{ false };
  //! Set before stopping_.
  foundation::Duration sendLimit_{ 0 };
  std::thread thread_;

  std::uint64_t version_ = 0;
  std::vector<LinkPtr> links_;
  std::vector<LinkPtr> pendingLinks_; //!< links with queued messages
  //! Interval between the pings of an idle link.
  foundation::Duration idleInterval_{ 0 };
  foundation::Instant nextCheck_{};
  BusyWindow busyWindow_;
  foundation::TokenBucket budget_;
};

} // namespace wigeonlb::peer
