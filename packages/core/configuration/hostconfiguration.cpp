#include "core/configuration/hostconfiguration.h"

namespace wigeonlb::core::configuration {

namespace {

//! Whether a leader with its lease has sent the reply. A host that expects a
//! configuration waits until there is one.
bool
IsConfirmation(const HostConfiguration& aState,
               const wire::HeartbeatReply& aReply)
{
  return aReply.confirmed() && (aReply.revision() != 0 || !aState.expected_);
}

} // namespace

bool
MayPutInForce(const HostConfiguration& aState)
{
  return !aState.expected_ || aState.confirmed_ || aState.noLeaderSinceStart_;
}

bool
ReceiveConfiguration(HostConfiguration& aState,
                     const wire::HeartbeatReply& aReply)
{
  const ViewChange change = ApplyReply(aState.received_, aReply);
  aState.inForce_.highestRevisionSeen_ = aState.received_.highestRevisionSeen_;
  return change.changed_ && MayPutInForce(aState);
}

void
NoteConfirmation(HostConfiguration& aState,
                 const wire::HeartbeatReply& aReply,
                 foundation::Instant aNow)
{
  const foundation::Instant askedAt{ foundation::Duration(
    aReply.sent_at_us()) };
  const bool isNewer = !aState.newest_ || askedAt > aState.newest_->askedAt_;
  if (IsConfirmation(aState, aReply) && aReply.sent_at_us() != 0 &&
      askedAt <= aNow && isNewer) {
    aState.newest_ = { aReply.revision(), askedAt, aReply.from() };
  }
}

bool
ConfirmReceived(HostConfiguration& aState, const wire::HeartbeatReply& aReply)
{
  const bool lacksNothing =
    aState.received_.state_.revision() >= aReply.revision();
  if (aState.confirmed_ || !IsConfirmation(aState, aReply) || !lacksNothing) {
    return false;
  }
  aState.confirmed_ = true;
  return true;
}

const Confirmation*
FindConfirmation(const HostConfiguration& aState)
{
  const bool covers = aState.newest_ && aState.inForce_.state_.revision() >=
                                          aState.newest_->revision_;
  return covers ? &*aState.newest_ : nullptr;
}

bool
MayRefuseNames(const Confirmation* aConfirmation, foundation::Instant aNow)
{
  return aConfirmation != nullptr &&
         aNow - aConfirmation->askedAt_ <= kConfirmationLifetimeMs;
}

} // namespace wigeonlb::core::configuration
