// Part of ControlRuntime: messages of and to other hosts.
#include "control/controlruntime.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace wigeonlb::daemon::control {

void
ControlRuntime::SendControl(const foundation::HostId& aHost,
                            wire::PeerMessage aMessage)
{
  if (aHost != settings_.hostId_) {
    (void)links_->Send(aHost, std::move(aMessage));
    return;
  }
  aMessage.set_from(settings_.hostId_);
  aMessage.set_boot(boot_);
  OnPeerMessage(std::move(aMessage));
}

bool
ControlRuntime::IsLost(const foundation::HostId& aHost) const
{
  return lostPeers_.Contains(aHost);
}

std::error_code
ControlRuntime::SendForward(const foundation::HostId& aHost,
                            wire::PeerMessage aMessage)
{
  // A link queues messages for an unreachable host, but a statement must not
  // wait in that queue. An answer is queued in any case: the host that sent the
  // request is reachable, or soon will be again.
  if (aMessage.has_forward_request() && IsLost(aHost)) {
    // Reopens the link, which may have been closed since it was lost.
    (void)links_->CheckReachability(aHost);
    return std::make_error_code(std::errc::host_unreachable);
  }
  return links_->Send(aHost, std::move(aMessage));
}

void
ControlRuntime::PostTokenRequest(wire::QuotaRequest aRequest)
{
  boost::asio::post(context_, [this, request = std::move(aRequest)]() mutable {
    if (quotaLeader_.empty()) {
      return;
    }
    wire::PeerMessage message;
    *message.mutable_quota_request() = std::move(request);
    SendControl(quotaLeader_, std::move(message));
  });
}

void
ControlRuntime::PostLeaderHint(const foundation::HostId& aLeader)
{
  boost::asio::post(context_, [this, aLeader] {
    if (!aLeader.empty()) {
      quotaLeader_ = aLeader;
    }
  });
}

void
ControlRuntime::OnPeerMessage(wire::PeerMessage aMessage)
{
  using Body = wire::PeerMessage::BodyCase;
  switch (aMessage.body_case()) {
    case Body::kForwardRequest:
    case Body::kForwardFrames:
    case Body::kForwardEnd:
    case Body::kForwardCredit:
    case Body::kForwardCancel:
    case Body::kForwardClose:
    case Body::kForwardClosed:
    case Body::kForwardCheck:
    case Body::kForwardChecked:
      traffic_.OnPeerMessage(std::move(aMessage));
      return;
    case Body::kQuotaReply:
      if (!aMessage.quota_reply().leader()) {
        PostLeaderHint(aMessage.quota_reply().leader_hint());
      }
      traffic_.OnPeerMessage(std::move(aMessage));
      return;
    default:
      boost::asio::post(context_,
                        [this, message = std::move(aMessage)]() mutable {
                          OnControlMessage(message);
                        });
  }
}

void
ControlRuntime::OnControlMessage(wire::PeerMessage& aMessage)
{
  using Body = wire::PeerMessage::BodyCase;
  switch (aMessage.body_case()) {
    case Body::kConsensus:
      if (member_ != nullptr) {
        member_->Feed(core::consensus::MessageReceived{ aMessage.consensus() });
      }
      return;
    case Body::kHeartbeat:
      EnsurePeer(aMessage.heartbeat().sender());
      // A member that lags, or was removed, may have been told newer members
      // than its own log has.
      if (leader_ == nullptr ||
          leader_->GetMembersIndex() < agent_->Holder().membersIndex_) {
        agent_->OnHeartbeat(aMessage.heartbeat());
      }
      if (leader_ != nullptr) {
        leader_->OnHeartbeat(std::move(*aMessage.mutable_heartbeat()));
      }
      return;
    case Body::kHeartbeatReply: {
      const wire::HeartbeatReply& reply = aMessage.heartbeat_reply();
      if (!reply.relayed_to().empty() &&
          reply.relayed_to() != settings_.hostId_) {
        SendControl(reply.relayed_to(), std::move(aMessage));
        return;
      }
      const foundation::HostId& leader =
        reply.leader() ? reply.from() : reply.leader_hint();
      if (!leader.empty()) {
        submitter_->SetLeaderHint(leader);
        quotaLeader_ = leader;
      }
      agent_->OnReply(reply);
      return;
    }
    case Body::kQuotaRequest:
      if (quota_ != nullptr) {
        quota_->OnRequest(aMessage.from(), aMessage.quota_request());
      }
      return;
    case Body::kRevoke:
      agent_->OnRevoke(aMessage.revoke());
      return;
    case Body::kChangeRequest:
      submitter_->OnRequest(aMessage.from(), aMessage.change_request());
      return;
    case Body::kChangeReply:
      submitter_->OnReply(aMessage.from(), aMessage.change_reply());
      return;
    case Body::kOperatorQuestion:
    case Body::kOperatorAnswer:
      onOperatorMessage_(aMessage);
      return;
    default:
      return;
  }
}

} // namespace wigeonlb::daemon::control
