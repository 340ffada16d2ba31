#pragma once

#include <functional>
#include <span>
#include <vector>

#include "foundation/clock.h"
#include "foundation/identifiers.h"

//! Whether a host is cut off together with a part of the system that can't
//! serve, so that its callers are better off elsewhere.
namespace wigeonlb::core::membership {

//! Silence of the control leader after which other hosts are tried: two
//! heartbeats.
constexpr foundation::Duration kLeaderSilenceMs =
  std::chrono::milliseconds(500);

//! Time for the hosts that were tried to answer or to be found lost; a little
//! above that of the links.
constexpr foundation::Duration kProofMs = std::chrono::milliseconds(900);

//! Hosts that are tried at most.
constexpr std::size_t kHostsTried = 12;

//! One in so many of the tried hosts must be lost. While only the control
//! members are down, other hosts still answer, and all are equally badly off.
constexpr std::size_t kLostPart = 4;

//! Between two rounds of sending callers away: some still reconnect to this
//! host, as a balancer without a better one sends them here.
constexpr foundation::Duration kAwayAgainMs = std::chrono::milliseconds(1000);

struct Isolation
{
  foundation::Instant triedAt_;
  std::vector<foundation::HostId> testedHosts_;
  bool judged_ = false; //!< the hosts that were tried had their time
  bool isolated_ = false;
  foundation::Instant isolatedSince_;
  foundation::Instant sentAwayAt_; //!< callers, last
};

//! Takes the time at which the leader was last heard. Returns the hosts to try
//! now: a connection to each is to be opened.
std::vector<foundation::HostId>
CheckLeaderContact(Isolation& aState,
                   foundation::Instant aLeaderHeardAt,
                   std::span<const foundation::HostId> aHosts,
                   foundation::Instant aNow);

//! Judges by the hosts that were tried. Returns true when the judgement has
//! changed.
bool
EvaluateIsolation(Isolation& aState,
                  const std::function<bool(const foundation::HostId&)>& aIsLost,
                  foundation::Instant aNow);

//! False while the host is cut off, or may be: the balancer takes a host out
//! only when it refuses for longer than the proof takes. A host that has heard
//! no leader since its start may have started in a part that is cut off.
bool
MayAcceptCallers(const Isolation& aState, bool aLeaderHeard);

//! True when the callers are to be sent to other hosts now. aNoticed: no new
//! ones come any more.
bool
ShouldDisconnectCallers(Isolation& aState,
                        bool aNoticed,
                        foundation::Instant aNow);

} // namespace wigeonlb::core::membership
