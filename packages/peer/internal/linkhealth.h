#pragma once

#include "peer/internal/link.h"

namespace wigeonlb::peer {

//! Pause before the next ping on a link that is not connected yet.
constexpr foundation::Duration kRetryWaitMs = std::chrono::milliseconds(20);

//! Parameters of the checks of a link.
struct LinkPolicy
{
  const PeerLinksSettings& settings_;
  //! Interval between the pings of an idle link.
  foundation::Duration idleInterval_;
};

//! Returns true if the peer is reachable, no statement is in flight, and the
//! link is neither configured to be kept open nor due to be closed.
bool
IsIdle(const Link& aLink, const LinkPolicy& aPolicy, foundation::Instant aNow);

//! Returns true if neither side has used the link for the time
//! PeerLinksSettings::closeAfter_.
bool
ShouldClose(const Link& aLink,
            const LinkPolicy& aPolicy,
            foundation::Instant aNow);

//! Returns true if a ping was not answered in time, or the link could not be
//! opened in time.
bool
HasTimedOut(const Link& aLink,
            const LinkPolicy& aPolicy,
            foundation::Instant aNow);

//! When a ping has to be sent as a separate message.
foundation::Instant
GetPingTime(const Link& aLink,
            const LinkPolicy& aPolicy,
            foundation::Instant aNow);

//! When the link has to be checked again; Instant::max() while it is closed.
foundation::Instant
GetNextCheckTime(const Link& aLink,
                 const LinkPolicy& aPolicy,
                 foundation::Instant aNow);

//! Pause after a ping or pong that the socket did not accept. It is short while
//! the link is being opened.
foundation::Duration
GetRetryPause(const Link& aLink, const LinkPolicy& aPolicy);

} // namespace wigeonlb::peer
