#pragma once

#include <string>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! How a read outside a transaction is routed.
struct ReadDecision
{
  enum class Kind
  {
    //! Send it to the replica `target_`, which has a free slot and connection.
    Send,
    //! Queue it: replicas are eligible but busy.
    Queue,
    //! Wait for a replica that is about to reach the floor; decide again at
    //! `until_`.
    Wait,
    //! Send it to the primary, because no replica can serve it in time.
    Primary,
    Refuse,
  };
  Kind kind_ = Kind::Refuse;
  Target* target_ = nullptr;
  Instant until_;
  std::string reason_;
  Duration retryAfter_{ 0 };
};

//! Chooses how to route a read. Apart from the random generator, no state
//! changes.
ReadDecision
DecideRead(Context& aContext, const Request& aRequest);

//! Whether a read would likely miss its deadline if it were queued for the
//! replicas.
bool
WouldQueuedReadBeLate(const Context& aContext, const Request& aRequest);

//! Whether a read would likely miss its deadline if it were sent to a target
//! after waiting another aWait.
bool
IsReadLate(const Context& aContext, const Request& aRequest, Duration aWait);

} // namespace wigeonlb::core::traffic::internal
