#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

#include <boost/asio/io_context.hpp>

#include "control/configurationreport.h"
#include "control/consensusmember.h"
#include "control/memberplanner.h"
#include "control/peerport.h"
#include "control/promotionport.h"
#include "core/configuration/delivery.h"
#include "core/failover/failover.h"
#include "core/grants/leaderwaiters.h"
#include "target/dialect.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::control {

//! Carries out the control leader's decisions on a control member's host:
//! answers heartbeats, reads and promotes targets, and proposes decisions. On a
//! member that doesn't lead, it answers heartbeats with the configuration only.
//! Used on the control thread.
class LeaderDriver
{
public:
  LeaderDriver(boost::asio::io_context& aContext,
               foundation::HostId aSelf,
               target::Login aLogin,
               const target::Protocol& aProtocol,
               PromotionPort aPromote,
               ConsensusMember& aMember,
               PeerPort& aPort);

  void OnTick();
  void OnHeartbeat(wire::Heartbeat aHeartbeat);
  //! Version of the committed list of members, as in heartbeats and replies.
  //! Starts at one, as a host that knows no members reports zero.
  std::uint64_t GetMembersIndex() const;
  void OnApplied(const core::configuration::ApplyResult& aResult);
  void OnReplaced();
  void OnLeadership(const core::consensus::LeadershipChanged& aChange);

  //! Called with each event of the failover logic and the resulting actions,
  //! before they are carried out; may be empty.
  std::function<void(const core::failover::FailoverEvent&,
                     std::span<const core::failover::FailoverAction>,
                     foundation::Instant)>
    onStep_;

  bool IsLeading() const { return leading_; }
  const core::failover::FailoverState& State() const { return state_; }
  //! The leader as known to this member; may be empty.
  const foundation::HostId& LeaderHint() const { return leaderHint_; }

  //! Sets the desired number of voters; 0 keeps the founding members.
  void SetWantedVoters(std::size_t aVoters)
  {
    memberPlanner_.wantedVoters_ = aVoters;
  }

  //! Revision in force on each host, as reported by its last heartbeat.
  const std::map<foundation::HostId, foundation::Revision>& RevisionsInForce()
    const
  {
    return delivery_.inForce_;
  }

private:
  void Feed(const core::failover::FailoverEvent& aEvent);
  void Execute(const core::failover::Propose& aAction);
  void Execute(core::failover::Reply& aAction);
  void Execute(const core::failover::SendRevoke& aAction);
  void Execute(const core::failover::ReadTarget& aAction);
  void Execute(const core::failover::PromoteTarget& aAction);
  void UpdateLeading();
  //! Adds the control members for a host whose list of them is outdated.
  void AddMembers(const foundation::HostId& aHost,
                  wire::HeartbeatReply& aReply) const;
  //! Relays a heartbeat to the leader. Returns false if no other leader is
  //! known or the heartbeat was relayed before.
  bool Relay(const wire::Heartbeat& aHeartbeat);
  void SendReply(const foundation::HostId& aHost, wire::PeerMessage aMessage);
  foundation::HostId GetKnownLeader() const;
  void AnswerAsFollower(const core::grants::LeaderWaiter& aWaiter);
  //! Sends the leader hint to the hosts whose heartbeats arrived while no
  //! leader was known.
  void AnswerWaiters();
  //! Adds what the host lacks of the configuration to a reply. Returns a
  //! message with the whole configuration if it is sent separately.
  std::optional<wire::PeerMessage> AddConfiguration(
    const foundation::HostId& aHost,
    wire::HeartbeatReply& aReply);
  void LogSent(const foundation::HostId& aHost,
               const wire::HeartbeatReply& aConfiguration);
  //! Logs that a host stays behind this leader's revision, or has caught up.
  void LogHostBehind(const foundation::HostId& aHost);
  const target::Dialect& FindDialect(std::string_view aGroup,
                                     std::string_view aTarget) const;

  boost::asio::io_context& context_;
  foundation::HostId self_;
  target::Login login_;
  const target::Protocol& protocol_;
  PromotionPort promote_;
  ConsensusMember& member_;
  PeerPort& port_;
  core::failover::FailoverState state_;
  foundation::HostId leaderHint_;
  core::grants::LeaderWaiters waiters_;
  MemberPlanner memberPlanner_;
  //! Index of the last membership change that each host has received.
  std::map<foundation::HostId, std::uint64_t> knownMembersIndex_;
  //! The member that relays each host's heartbeats; empty if they arrive
  //! directly.
  std::map<foundation::HostId, foundation::HostId> relays_;
  //! Promotions that were requested and not answered yet, by group and fence.
  std::set<std::pair<foundation::GroupName, std::uint64_t>>
    promotionsInProgress_;
  bool leading_ = false;
  core::configuration::Delivery delivery_;
  HostsBehind behind_; //!< while this host leads
  SentConfigurationLog sentLog_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace wigeonlb::daemon::control
