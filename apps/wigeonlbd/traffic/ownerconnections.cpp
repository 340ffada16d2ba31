// The connections of an owner group to its targets, and the messages that it
// sends to entry hosts.
#include "traffic/ownergroup.h"

#include <boost/asio/post.hpp>

#include "core/configuration/applyrecord.h"

namespace wigeonlb::daemon::traffic {

namespace core_traffic = core::traffic;

GroupConnection*
OwnerGroup::FindConnection(core_traffic::ConnectionId aId)
{
  const auto found = connections_.find(aId);
  return found == connections_.end() ? nullptr : found->second.get();
}

OwnerGroup::ConnectionPointer
OwnerGroup::MakeConnection(core_traffic::ConnectionId aId,
                           const foundation::TargetName& aTarget)
{
  return std::make_unique<GroupConnection>(
    context_, *this, aId, aTarget, GetDialect(aTarget), settings_.protocols_);
}

target::TargetAddress
OwnerGroup::BuildAddress(const foundation::TargetName& aTarget,
                         const std::string& aAddress) const
{
  const wire::TargetState* const target =
    core::configuration::FindTarget(group_, aTarget);
  return { aAddress,
           settings_.group_,
           settings_.login_,
           aTarget,
           target == nullptr ? 0 : target->incarnation() };
}

//! Destroys a connection from the event loop, when none of its methods is on
//! the stack.
void
OwnerGroup::DestroyLater(ConnectionPointer aConnection)
{
  boost::asio::post(
    context_,
    [connection = std::shared_ptr<GroupConnection>(std::move(aConnection))] {});
}

void
OwnerGroup::SendFrames(OwnedSession& aSession, std::string aFrames)
{
  aSession.passedBytes_ += aFrames.size();
  wire::PeerMessage message;
  wire::ForwardFrames& frames = *message.mutable_forward_frames();
  frames.set_session(aSession.request_.session());
  frames.set_boot(std::get<1>(aSession.key_));
  frames.set_request(aSession.request_.request());
  frames.set_sequence(aSession.nextPiece_++);
  frames.set_frames(std::move(aFrames));
  (void)port_.SendForward(std::get<0>(aSession.key_), std::move(message));
}

void
OwnerGroup::AnswerProbe(GroupConnection& aConnection,
                        std::optional<wire::TargetReport> aReport)
{
  const auto found = probes_.find(aConnection.Target());
  if (found == probes_.end() ||
      found->second.connection_.get() != &aConnection) {
    return;
  }
  const bool reachable = aReport.has_value();
  const bool changed = reachable != found->second.reachable_;
  found->second.reachable_ = reachable;
  LogRefusedTerminations(found->second.terminations_,
                         settings_.group_,
                         aConnection.Target(),
                         aConnection.Error());
  Feed(core_traffic::ProbeAnswered{ aConnection.Target(),
                                    found->second.sequence_,
                                    std::move(aReport),
                                    aConnection.GetBackendId() });
  if (changed) {
    listener_.OnReachabilityChanged(settings_.group_);
  }
}

const target::Dialect&
OwnerGroup::GetDialect(const foundation::TargetName& aTarget) const
{
  const wire::TargetState* const target =
    core::configuration::FindTarget(group_, aTarget);
  return settings_.protocols_.targets_->dialect_(
    target == nullptr ? "" : target->dialect());
}

} // namespace wigeonlb::daemon::traffic
