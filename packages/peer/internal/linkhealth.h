#pragma once

#include "peer/internal/link.h"

namespace wigeonlb::peer {

//! Pause before a link that is not connected yet is tried again.
constexpr foundation::Duration kRetryWaitMs = std::chrono::milliseconds(20);

//! What the checks of a link go by.
struct LinkPolicy
{
  const PeerLinksSettings& settings_;
  foundation::Duration idleInterval_; //!< between two pings of an idle link
};

//! Nothing depends on the link now, but it may be used again soon.
bool
IsIdle(const Link& aLink, const LinkPolicy& aPolicy, foundation::Instant aNow);

//! The link was not used by either side for so long that it can be closed.
bool
ShouldClose(const Link& aLink,
            const LinkPolicy& aPolicy,
            foundation::Instant aNow);

//! A ping was not answered in time, or the link could not be opened in time.
bool
HasTimedOut(const Link& aLink,
            const LinkPolicy& aPolicy,
            foundation::Instant aNow);

//! When a ping has to go by itself.
foundation::Instant
GetPingTime(const Link& aLink,
            const LinkPolicy& aPolicy,
            foundation::Instant aNow);

//! When the link has to be looked at again; Instant::max() while it is closed.
foundation::Instant
GetNextCheckTime(const Link& aLink,
                 const LinkPolicy& aPolicy,
                 foundation::Instant aNow);

//! Pause after a ping for which the socket had no room. A link that is being
//! opened is tried again soon.
foundation::Duration
GetRetryPause(const Link& aLink, const LinkPolicy& aPolicy);

} // namespace wigeonlb::peer
