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
#include "traffic/trafficshard.h"

namespace wigeonlb::daemon::traffic {

//! What a traffic runtime asks of its surroundings.
struct TrafficCallbacks
{
  //! Sends a message to another host. From any traffic thread.
  std::function<std::error_code(const foundation::HostId&, wire::PeerMessage)>
    sendToPeer_;
  //! Nothing is in flight under the term any more. From any traffic thread.
  std::function<void(const foundation::GroupName&, std::uint64_t)>
    onTermReleased_;
  //! The reports of a group's targets have news. From any traffic thread.
  std::function<void(std::vector<wire::TargetReport>)> onReports_;
  //! Connections that a group may have open to one target, as applied; 0 before
  //! the first grant and once the group is given up. From any traffic thread,
  //! with each CollectReports.
  std::function<void(const foundation::GroupName&, std::uint32_t)>
    onConnections_;
  recording::TraceRecorder* trace_ = nullptr; //!< none: nothing is recorded
  RequestLog* log_ = nullptr;                 //!< none: nothing is logged
};

//! The traffic threads: callers' sessions, owner groups, and the way between
//! them. Methods may be called from any thread.
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
  //! Ends the threads; sessions that are still open are cut.
  void Stop();

  //! Takes no new callers and closes sessions as they become idle.
  void Drain();
  //! Closes the sessions that are open now as they become idle.
  void DisconnectCallersWhenIdle() { server_->DisconnectWhenIdle(); }
  //! Ends open transactions as soon as nothing runs in them.
  void EndTransactions() { server_->EndTransactions(); }
  std::size_t SessionCount() const { return server_->SessionCount(); }

  std::error_code SendForward(const foundation::HostId& aHost,
                              wire::PeerMessage aMessage) override;
  //! A forward message from a peer link.
  void OnPeerMessage(wire::PeerMessage aMessage);
  void OnHostLost(const foundation::HostId& aHost);

  void SetRoutes(RoutingTablePointer aRoutes);
  void ChangeGroup(core::traffic::GroupChanged aEvent);
  void ChangeGrant(const foundation::GroupName& aGroup,
                   core::traffic::GrantChanged aEvent);
  void StopNewWrites(const foundation::GroupName& aGroup,
                     core::traffic::StopNewWrites aEvent);
  void DropGroup(const foundation::GroupName& aGroup);

  //! Runs a function on the thread of a group's owner, with its owner group or
  //! null.
  void WithOwner(const foundation::GroupName& aGroup,
                 std::function<void(OwnerGroup*)> aFunction);
  //! Runs a function on each traffic thread.
  void WithEachShard(const std::function<void(TrafficShard&)>& aFunction);
  std::size_t ShardCount() const { return shards_.size(); }

  //! Asks every owner group for its reports and connections; they arrive by
  //! onReports_ and onConnections_.
  void CollectReports();

  //! Asks every owner group what it is running; see GetRunningRequestCount.
  void UpdateRunningRequestCount();
  //! Requests and open transactions at this host's owner groups, as of the last
  //! UpdateRunningRequestCount that every traffic thread has answered.
  std::size_t GetRunningRequestCount() const;

private:
  struct Thread
  {
    boost::asio::io_context context_{ 1 };
    std::unique_ptr<TrafficShard> shard_;
    //! Starts above zero: nothing is known before the first count.
    std::atomic<std::size_t> running_ = 1;
  };

  void OnTermReleased(const foundation::GroupName& aGroup,
                      std::uint64_t aTerm) override;
  void OnReachabilityChanged(const foundation::GroupName& aGroup) override;
  Thread& ThreadOf(const foundation::GroupName& aGroup);
  Thread& ThreadOfSession(std::uint64_t aSession);
  Thread& ThreadFor(const wire::PeerMessage& aMessage);

  foundation::HostId host_;
  std::uint64_t boot_;
  TrafficCallbacks callbacks_;
  std::vector<std::unique_ptr<Thread>> shards_;
  std::unique_ptr<caller::CallerServer> server_;
  std::vector<
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
    work_;
  tbb::task_arena arena_;
  tbb::task_group tasks_;
  bool running_ = false;
  bool takesCallers_ = true;
};

} // namespace wigeonlb::daemon::traffic
