#include "core/configuration/hostconfiguration.h"

#include <algorithm>

namespace wigeonlb::core::configuration {

namespace {

void
NoteConfirmation(HostConfiguration& aState,
                 const wire::HeartbeatReply& aReply,
                 foundation::Instant aNow)
{
  const foundation::Instant askedAt{ foundation::Duration(
    aReply.sent_at_us()) };
  const bool isNewer = !aState.newest_ || askedAt > aState.newest_->askedAt_;
  if (aReply.sent_at_us() != 0 && askedAt <= aNow && isNewer) {
    aState.newest_ = { aReply.revision(), askedAt, aReply.from() };
  }
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

bool
ReceiveConfirmation(HostConfiguration& aState,
                    const wire::HeartbeatReply& aReply,
                    foundation::Instant aNow)
{
  const bool hasNone = aState.expected_ && aReply.revision() == 0;
  if (!aReply.confirmed() || hasNone) {
    return false;
  }
  NoteConfirmation(aState, aReply, aNow);
  const bool lacksNothing =
    aState.received_.state_.revision() >= aReply.revision();
  if (aState.confirmed_ || !lacksNothing) {
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

} // namespace wigeonlb::core::configuration
