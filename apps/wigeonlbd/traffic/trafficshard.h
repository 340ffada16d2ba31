#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller/callersession.h"
#include "traffic/entrysession.h"
#include "traffic/ownergroup.h"
#include "traffic/quotagate.h"

namespace wigeonlb::daemon::traffic {

//! Low bits of a session number and of a cancel key's process id that identify
//! the traffic thread.
constexpr unsigned kShardBits = 8;
constexpr std::uint64_t kShardMask = (1U << kShardBits) - 1;

//! One row of `show sessions`.
struct SessionRow
{
  std::uint64_t number_ = 0;
  foundation::GroupName group_;
  foundation::Tenant tenant_;
  std::string address_;
  bool waiting_ = false;
  bool inTransaction_ = false;
  foundation::LogPosition floor_;
};

//! Settings shared by all traffic threads.
struct ShardSettings
{
  EntryContext entry_; //!< without cache and routes
  std::size_t cachedStatements_ = 0;
  target::Login login_;
  OwnerProtocols protocols_;
  core::classification::Classifier classify_ = core::classification::Classify;
  std::uint64_t seed_ = 0;
  //! Sends a request for tokens to the control leader.
  std::function<void(wire::QuotaRequest)> requestTokens_;
  recording::TraceRecorder* trace_ = nullptr;
};

//! The callers' sessions and owner groups of one traffic thread. All methods
//! but the constructor must be called on that thread.
class TrafficShard : public caller::CallerObserver
{
public:
  TrafficShard(boost::asio::io_context& aContext,
               std::uint64_t aIndex,
               ShardSettings aSettings,
               OwnerGroupListener& aListener);
  ~TrafficShard() override;

  void OnStartup(caller::CallerSession& aSession,
                 const caller::StartupRequest& aRequest) override;
  void OnQuery(caller::CallerSession& aSession, std::string_view aSql) override;
  void OnCancel(const caller::CancelKey& aKey) override;
  void OnDrained(caller::CallerSession& aSession) override;
  void OnClosed(caller::CallerSession& aSession) override;

  //! Passes a cancel request that arrived on this thread to the thread of its
  //! session.
  std::function<void(const caller::CancelKey&)> routeCancel_;
  void CancelLocal(const caller::CancelKey& aKey);

  void OnPeerMessage(wire::PeerMessage aMessage);
  void OnHostLost(const foundation::HostId& aHost);
  //! The host has started again; aBoot is its present start.
  void OnHostRestarted(const foundation::HostId& aHost, std::uint64_t aBoot);
  //! Ends the callers' requests that are still in progress: this host stops.
  void AbandonRequests();
  void OnHostReachable(const foundation::HostId& aHost);
  void SetRoutes(RoutingTablePointer aRoutes);

  //! Returns the owner group, and creates it if there is none. Stops retiring
  //! it.
  OwnerGroup& GetOrCreateOwner(const foundation::GroupName& aGroup);
  //! Closes the owner group after this host has lost ownership: refuses new
  //! requests, so that entry hosts try another owner, and waits a bounded time
  //! for running ones.
  void RetireOwner(const foundation::GroupName& aGroup);
  //! Refuses the requests of entry hosts from now on, so that they try another
  //! owner. Statements of open transactions are still run.
  void RefuseRequests() { refusesRequests_ = true; }
  //! Whether this host may stop as an owner: it refuses requests, runs none,
  //! and has received none for so long that the entry hosts use other owners.
  bool IsReleased(foundation::Instant aNow) const;

  //! Returns the groups whose owner group was closed since the last call.
  std::vector<foundation::GroupName> ExtractClosedGroups();

  std::vector<SessionRow> Sessions() const;
  const std::map<foundation::GroupName, std::unique_ptr<OwnerGroup>>& Owners()
    const
  {
    return owners_;
  }
  boost::asio::io_context& Context() { return io_; }

private:
  bool IsForThisBoot(std::uint64_t aBoot) const;
  void OnFrames(wire::ForwardFrames aFrames);
  //! aOwnerBoot is the start of the owner that has answered.
  void OnEnd(wire::ForwardEnd aEnd, std::uint64_t aOwnerBoot);
  void OnChecked(const wire::ForwardChecked& aChecked);
  void OnClosed(const foundation::HostId& aFrom,
                const wire::ForwardClosed& aClosed);
  void OnOwnerMessage(const wire::PeerMessage& aMessage);
  //! Closes a host's sessions of its former start when it has started again.
  //! Returns false if the message is of the former start.
  bool IsOfPresentBoot(const wire::PeerMessage& aMessage);
  void AnswerNotOwner(const wire::PeerMessage& aMessage);
  //! Passes a request to its owner group, once it has the token that it needs.
  void OnRequest(OwnerGroup& aOwner, const wire::PeerMessage& aMessage);
  //! Passes a request on that has its token. Returns false if it is refused:
  //! what holds for its group may have changed while it waited.
  bool RunAdmitted(const wire::PeerMessage& aMessage);
  void RefuseAsRetiring(OwnerGroup& aOwner, const wire::PeerMessage& aMessage);
  void AnswerNotRun(const wire::PeerMessage& aMessage,
                    const std::string& aReason,
                    foundation::Duration aRetryAfter);
  QuotaCallbacks MakeQuotaCallbacks();
  void ConfirmClose(const wire::PeerMessage& aMessage);
  void AnswerCheck(const wire::PeerMessage& aMessage);
  //! Calls the function on each entry session; it may close sessions.
  void WithEachEntry(const std::function<void(EntrySession&)>& aFunction);
  //! Whether a request is refused because its group, or this host, stops.
  bool IsRefusedWhileRetiring(const OwnerGroup& aOwner,
                              const foundation::GroupName& aGroup,
                              const wire::PeerMessage& aMessage) const;
  void SweepRetiring();
  EntrySession* FindEntry(std::uint64_t aNumber);

  boost::asio::io_context& io_;
  std::uint64_t index_;
  ShardSettings settings_;
  OwnerGroupListener& listener_;
  core::classification::ClassificationCache cache_;
  CloseNotifier closes_;
  EntryContext entry_;
  QuotaGate quota_;
  std::uint64_t nextNumber_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<EntrySession>> entries_;
  std::unordered_map<std::uint64_t, std::uint64_t> numbers_; //!< by caller
  std::map<foundation::GroupName, std::unique_ptr<OwnerGroup>> owners_;
  //! Owner groups that are being closed, with the time at which requests that
  //! are still running are aborted.
  std::map<foundation::GroupName, foundation::Instant> retiring_;
  std::vector<foundation::GroupName> closed_;
  bool refusesRequests_ = false;
  //! When another host last sent a request.
  foundation::Instant lastRequestAt_{};
  boost::asio::steady_timer sweepTimer_;
  //! Starts of a host. All former ones are kept, because a message may be held
  //! back while its host starts more than once.
  struct Boots
  {
    std::uint64_t present_ = 0; //!< 0 before the first message
    std::set<std::uint64_t> former_;
  };
  std::map<foundation::HostId, Boots> boots_;
};

} // namespace wigeonlb::daemon::traffic
