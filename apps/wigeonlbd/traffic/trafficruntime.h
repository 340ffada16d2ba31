#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>

#include "caller/callerserver.h"
#include "settings/daemonsettings.h"
#include "traffic/acknowledgedreports.h"
#include "traffic/trafficshard.h"

namespace wigeonlb::daemon::traffic {

//! Callbacks of a traffic runtime to the rest of the daemon.
struct TrafficCallbacks
{
  //! Sends a message to another host. Called on any traffic thread.
  std::function<std::error_code(const foundation::HostId&, wire::PeerMessage)>
    sendToPeer_;
  //! No request is in flight under the term any more. Called on any traffic
  //! thread.
  std::function<void(const foundation::GroupName&, foundation::TermEpoch)>
    onTermReleased_;
  //! The current reports of a group's targets. Called on any traffic thread.
  std::function<void(std::vector<wire::TargetReport>)> onReports_;
  //! Maximum number of connections that a group may open to one target, as
  //! applied; 0 before the first grant and after the owner group was closed.
  //! Called on any traffic thread, after each CollectReports.
  std::function<void(const foundation::GroupName&, std::uint32_t)>
    onConnections_;
  //! Sends a request for tokens to the control leader. Called on any traffic
  //! thread.
  std::function<void(wire::QuotaRequest)> requestTokens_;
  recording::TraceRecorder* trace_ = nullptr; //!< null: no trace is recorded
  RequestLog* log_ = nullptr;                 //!< null: requests are not logged
};

//! The traffic threads, with the callers' sessions, the owner groups and the
//! routing of messages between them. Methods may be called from any thread.
class TrafficRuntime
  : public ForwardPort
  , public OwnerGroupListener
{
public:
  TrafficRuntime(const settings::DaemonSettings& aSettings,
                 std::uint64_t aBoot,
                 TrafficMetrics& aMetrics,
                 const OwnerProtocols& aProtocols,
                 core::classification::Classifier aClassify,
                 TrafficCallbacks aCallbacks);
  ~TrafficRuntime() noexcept override;

  //! Listens for callers and starts the threads.
  std::error_code Start();
  //! Stops the threads; sessions that are still open are disconnected.
  void Stop();

  //! Closes sessions as they become idle. New callers are still accepted and
  //! may send one request.
  void CloseIdleCallers() { server_->CloseIdle(); }
  //! Accepts the callers that wait, and no others.
  void StopAccepting() { server_->StopAccepting(); }
  bool IsAccepting() const { return server_->IsAccepting(); }
  //! Closes the sessions that are open now as they become idle. New callers are
  //! still accepted.
  void DisconnectCallersWhenIdle() { server_->DisconnectWhenIdle(); }
  //! Ends open transactions with their sessions, each as soon as no statement
  //! is running.
  void EndTransactions() { server_->EndTransactions(); }
  std::size_t SessionCount() const { return server_->SessionCount(); }

  std::error_code SendForward(const foundation::HostId& aHost,
                              wire::PeerMessage aMessage) override;
  //! Handles a forward message from a peer link.
  void OnPeerMessage(wire::PeerMessage aMessage);
  void OnHostLost(const foundation::HostId& aHost);
  void OnHostRestarted(const foundation::HostId& aHost, std::uint64_t aBoot);
  void OnHostReachable(const foundation::HostId& aHost);

  void SetRoutes(RoutingTablePointer aRoutes);
  void ChangeGroup(core::traffic::GroupChanged aEvent);
  void ChangeGrant(const foundation::GroupName& aGroup,
                   core::traffic::GrantChanged aEvent);
  void StopNewWrites(const foundation::GroupName& aGroup,
                     core::traffic::StopNewWrites aEvent);
  void DropGroup(const foundation::GroupName& aGroup);

  //! Runs a function on the group's traffic thread, with its owner group, or
  //! null if there is none.
  void WithOwner(const foundation::GroupName& aGroup,
                 std::function<void(OwnerGroup*)> aFunction);
  //! Runs a function on each traffic thread.
  void WithEachShard(const std::function<void(TrafficShard&)>& aFunction);
  std::size_t ShardCount() const { return shards_.size(); }

  //! What this host has acknowledged, for the control leader.
  AcknowledgedReports& Acknowledged() { return acknowledged_; }

  //! Collects the reports and connection limits of all owner groups; the
  //! results arrive by onReports_ and onConnections_.
  void CollectReports();

  //! Answers the callers' requests that are still in progress, as unknown or
  //! rolled back.
  void AbandonRequests();
  //! Refuses the requests of entry hosts as an owner from now on.
  void RefuseRequests();
  //! Starts an update of what IsReleased returns.
  void UpdateReleased();
  //! Whether this host may stop as an owner, by the last UpdateReleased that
  //! each traffic thread has processed. False before RefuseRequests.
  bool IsReleased() const;

private:
  struct Thread
  {
    boost::asio::io_context context_{ 1 };
    std::unique_ptr<TrafficShard> shard_;
    std::atomic<bool> released_ = false;
  };

  void OnTermReleased(const foundation::GroupName& aGroup,
                      foundation::TermEpoch aTerm) override;
  void OnWritesAcknowledged(const wire::AcknowledgedWrites& aWrites) override;
  void OnReachabilityChanged(const foundation::GroupName& aGroup) override;
  Thread& GetGroupThread(const foundation::GroupName& aGroup);
  Thread& GetSessionThread(std::uint64_t aSession);
  Thread& GetMessageThread(const wire::PeerMessage& aMessage);

  foundation::HostId host_;
  std::uint64_t boot_;
  TrafficCallbacks callbacks_;
  AcknowledgedReports acknowledged_;
  std::vector<std::unique_ptr<Thread>> shards_;
  std::unique_ptr<caller::CallerServer> server_;
  std::vector<
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
    work_;
  tbb::task_arena arena_;
  tbb::task_group tasks_;
  bool running_ = false;
  bool acceptsCallers_ = true;
};

} // namespace wigeonlb::daemon::traffic
