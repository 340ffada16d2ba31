#include "traffic/trafficruntime.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <xxhash.h>

namespace wigeonlb::daemon::traffic {

TrafficRuntime::TrafficRuntime(const settings::DaemonSettings& aSettings,
                               std::uint64_t aBoot,
                               TrafficMetrics& aMetrics,
                               const OwnerProtocols& aProtocols,
                               core::classification::Classifier aClassify,
                               TrafficCallbacks aCallbacks)
  : host_(aSettings.hostId_)
  , boot_(aBoot)
  , callbacks_(std::move(aCallbacks))
  , arena_(static_cast<int>(aSettings.trafficThreads_), 0)
  , acceptsCallers_(settings::AcceptsCallers(aSettings))
{
  ShardSettings shard;
  shard.entry_.host_ = aSettings.hostId_;
  shard.entry_.boot_ = aBoot;
  shard.entry_.dataCentre_ = aSettings.dataCentre_;
  shard.entry_.statementDeadline_ = aSettings.statementDeadline_;
  shard.entry_.port_ = this;
  shard.entry_.metrics_ = &aMetrics;
  shard.entry_.log_ = callbacks_.log_;
  shard.cachedStatements_ = aSettings.cachedStatements_;
  shard.login_ = { aSettings.targetUser_,
                   target::MakeApplicationName(aSettings.hostId_, aBoot) };
  shard.protocols_ = aProtocols;
  shard.classify_ = aClassify;
  shard.seed_ = aBoot;
  shard.trace_ = callbacks_.trace_;
  shard.requestTokens_ = callbacks_.requestTokens_;

  std::vector<caller::CallerWorker> workers;
  for (std::size_t index = 0; index < aSettings.trafficThreads_; ++index) {
    auto thread = std::make_unique<Thread>();
    thread->shard_ =
      std::make_unique<TrafficShard>(thread->context_, index, shard, *this);
    thread->shard_->routeCancel_ = [this](const caller::CancelKey& aKey) {
      Thread& owner = GetSessionThread(aKey.processId_);
      boost::asio::post(owner.context_,
                        [&owner, aKey] { owner.shard_->CancelLocal(aKey); });
    };
    workers.push_back({ &thread->context_, thread->shard_.get() });
    shards_.push_back(std::move(thread));
  }

  caller::CallerServerOptions options;
  options.address_ = aSettings.callerAddress_.ip_;
  options.port_ = aSettings.callerAddress_.port_;
  options.maxSessions_ = aSettings.maxSessions_;
  options.session_.protocol_ = aProtocols.callers_;
  options.session_.startupTimeout_ = aSettings.startupTimeout_;
  options.session_.maxMessageBytes_ = aSettings.maxMessageBytes_;
  server_ = std::make_unique<caller::CallerServer>(workers, options);
}

TrafficRuntime::~TrafficRuntime() noexcept
{
  Stop();
}

std::error_code
TrafficRuntime::Start()
{
  const std::error_code error =
    acceptsCallers_ ? server_->Listen() : std::error_code();
  if (error) {
    return error;
  }
  running_ = true;
  for (const auto& thread : shards_) {
    work_.emplace_back(boost::asio::make_work_guard(thread->context_));
  }
  // Each event loop runs as one task of the arena until Stop.
  for (const auto& thread : shards_) {
    boost::asio::io_context& context = thread->context_;
    arena_.enqueue(tasks_.defer([&context] { context.run(); }));
  }
  return {};
}

void
TrafficRuntime::Stop()
{
  if (!running_) {
    return;
  }
  running_ = false;
  work_.clear();
  for (const auto& thread : shards_) {
    thread->context_.stop();
  }
  arena_.execute([this] { tasks_.wait(); });
}

TrafficRuntime::Thread&
TrafficRuntime::GetGroupThread(const foundation::GroupName& aGroup)
{
  const std::uint64_t hash = XXH3_64bits(aGroup.data(), aGroup.size());
  return *shards_[hash % shards_.size()];
}

TrafficRuntime::Thread&
TrafficRuntime::GetSessionThread(std::uint64_t aSession)
{
  return *shards_[(aSession & kShardMask) % shards_.size()];
}

TrafficRuntime::Thread&
TrafficRuntime::GetMessageThread(const wire::PeerMessage& aMessage)
{
  using Body = wire::PeerMessage::BodyCase;
  switch (aMessage.body_case()) {
    case Body::kForwardFrames:
      return GetSessionThread(aMessage.forward_frames().session());
    case Body::kForwardEnd:
      return GetSessionThread(aMessage.forward_end().session());
    case Body::kForwardClosed:
      return GetSessionThread(aMessage.forward_closed().session());
    case Body::kForwardChecked:
      return GetSessionThread(aMessage.forward_checked().session());
    case Body::kQuotaReply:
      return *shards_[aMessage.quota_reply().shard() % shards_.size()];
    case Body::kForwardCheck:
      return GetGroupThread(aMessage.forward_check().group());
    case Body::kForwardCredit:
      return GetGroupThread(aMessage.forward_credit().group());
    case Body::kForwardCancel:
      return GetGroupThread(aMessage.forward_cancel().group());
    case Body::kForwardClose:
      return GetGroupThread(aMessage.forward_close().group());
    default:
      return GetGroupThread(aMessage.forward_request().group());
  }
}

std::error_code
TrafficRuntime::SendForward(const foundation::HostId& aHost,
                            wire::PeerMessage aMessage)
{
  if (aHost != host_) {
    return callbacks_.sendToPeer_(aHost, std::move(aMessage));
  }
  aMessage.set_from(host_);
  aMessage.set_boot(boot_);
  OnPeerMessage(std::move(aMessage));
  return {};
}

void
TrafficRuntime::OnPeerMessage(wire::PeerMessage aMessage)
{
  Thread& thread = GetMessageThread(aMessage);
  boost::asio::post(thread.context_,
                    [&thread, message = std::move(aMessage)]() mutable {
                      thread.shard_->OnPeerMessage(std::move(message));
                    });
}

void
TrafficRuntime::OnHostLost(const foundation::HostId& aHost)
{
  WithEachShard([aHost](TrafficShard& aShard) { aShard.OnHostLost(aHost); });
}

void
TrafficRuntime::OnHostRestarted(const foundation::HostId& aHost,
                                std::uint64_t aBoot)
{
  WithEachShard([aHost, aBoot](TrafficShard& aShard) {
    aShard.OnHostRestarted(aHost, aBoot);
  });
}

void
TrafficRuntime::OnHostReachable(const foundation::HostId& aHost)
{
  WithEachShard(
    [aHost](TrafficShard& aShard) { aShard.OnHostReachable(aHost); });
}

void
TrafficRuntime::SetRoutes(RoutingTablePointer aRoutes)
{
  WithEachShard([aRoutes](TrafficShard& aShard) { aShard.SetRoutes(aRoutes); });
}

void
TrafficRuntime::ChangeGroup(core::traffic::GroupChanged aEvent)
{
  Thread& thread = GetGroupThread(aEvent.group_.group());
  boost::asio::post(
    thread.context_, [&thread, event = std::move(aEvent)]() mutable {
      const foundation::GroupName group = event.group_.group();
      thread.shard_->GetOrCreateOwner(group).OnGroupChanged(std::move(event));
    });
}

void
TrafficRuntime::ChangeGrant(const foundation::GroupName& aGroup,
                            core::traffic::GrantChanged aEvent)
{
  WithOwner(aGroup, [event = std::move(aEvent)](OwnerGroup* aOwner) {
    if (aOwner != nullptr) {
      aOwner->OnGrantChanged(event);
    }
  });
}

void
TrafficRuntime::StopNewWrites(const foundation::GroupName& aGroup,
                              core::traffic::StopNewWrites aEvent)
{
  WithOwner(aGroup, [this, aGroup, event = aEvent](OwnerGroup* aOwner) {
    if (aOwner != nullptr) {
      aOwner->OnStopNewWrites(event);
    } else {
      callbacks_.onTermReleased_(aGroup, { event.term_, event.epoch_ });
    }
  });
}

void
TrafficRuntime::DropGroup(const foundation::GroupName& aGroup)
{
  Thread& thread = GetGroupThread(aGroup);
  boost::asio::post(thread.context_,
                    [&thread, aGroup] { thread.shard_->RetireOwner(aGroup); });
}

void
TrafficRuntime::WithOwner(const foundation::GroupName& aGroup,
                          std::function<void(OwnerGroup*)> aFunction)
{
  Thread& thread = GetGroupThread(aGroup);
  boost::asio::post(
    thread.context_, [&thread, aGroup, function = std::move(aFunction)] {
      const auto& owners = thread.shard_->Owners();
      const auto found = owners.find(aGroup);
      function(found == owners.end() ? nullptr : found->second.get());
    });
}

void
TrafficRuntime::WithEachShard(
  const std::function<void(TrafficShard&)>& aFunction)
{
  for (const auto& thread : shards_) {
    boost::asio::post(thread->context_, [&shard = *thread->shard_, aFunction] {
      aFunction(shard);
    });
  }
}

void
TrafficRuntime::CollectReports()
{
  WithEachShard([this](TrafficShard& aShard) {
    for (const auto& name : aShard.ExtractClosedGroups()) {
      callbacks_.onConnections_(name, 0);
    }
    for (const auto& [name, owner] : aShard.Owners()) {
      callbacks_.onReports_(owner->Reports());
      callbacks_.onConnections_(
        name,
        core::traffic::CollectGauges(owner->State()).maxConnectionsPerTarget_);
    }
  });
}

void
TrafficRuntime::AbandonRequests()
{
  WithEachShard([](TrafficShard& aShard) { aShard.AbandonRequests(); });
}

void
TrafficRuntime::RefuseRequests()
{
  WithEachShard([](TrafficShard& aShard) { aShard.RefuseRequests(); });
}

void
TrafficRuntime::UpdateReleased()
{
  for (const auto& thread : shards_) {
    boost::asio::post(thread->context_, [&thread = *thread] {
      thread.released_ = thread.shard_->IsReleased(foundation::SteadyNow());
    });
  }
}

bool
TrafficRuntime::IsReleased() const
{
  return std::ranges::all_of(
    shards_, [](const auto& aThread) { return aThread->released_.load(); });
}

void
TrafficRuntime::OnTermReleased(const foundation::GroupName& aGroup,
                               foundation::TermEpoch aTerm)
{
  callbacks_.onTermReleased_(aGroup, aTerm);
}

void
TrafficRuntime::OnWritesAcknowledged(const wire::AcknowledgedWrites& aWrites)
{
  acknowledged_.Set(aWrites);
}

void
TrafficRuntime::OnReachabilityChanged(const foundation::GroupName& aGroup)
{
  // Called while the group's state machine is in a step; its reports must be
  // read after that.
  WithOwner(aGroup, [this](OwnerGroup* aOwner) {
    if (aOwner != nullptr) {
      callbacks_.onReports_(aOwner->Reports());
    }
  });
}

} // namespace wigeonlb::daemon::traffic
