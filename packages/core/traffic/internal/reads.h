#pragma once

#include <string>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

//! Where a read outside a transaction is to go now.
struct ReadDecision
{
  enum class Kind
  {
    //! To the replica `target_`, which has a slot and a connection for it.
    Send,
    //! Into the queue: replicas are eligible but busy.
    Queue,
    //! A replica is about to reach the floor; decide again at `until_`.
    Wait,
    //! To the primary, as the last resort.
    Primary,
    Refuse,
  };
  Kind kind_ = Kind::Refuse;
  Target* target_ = nullptr;
  Instant until_;
  std::string reason_;
  Duration retryAfter_{ 0 };
};

//! Decides on a read. The state changes only by the random generator.
ReadDecision
DecideRead(Context& aContext, const Request& aRequest);

//! Whether a read that must queue for replicas would miss its deadline.
bool
WouldQueuedReadBeLate(const Context& aContext, const Request& aRequest);

//! Whether a read that waits aWait longer would likely miss its deadline at the
//! target.
bool
IsReadLate(const Context& aContext, const Request& aRequest, Duration aWait);

} // namespace wigeonlb::core::traffic::internal
