#pragma once

#include <cstddef>

#include "foundation/clock.h"

namespace wigeonlb::peer {

//! Detects a high rate of control messages. They are then received in batches,
//! because waking up a thread costs more than processing a message.
struct BusyWindow
{
  std::size_t messages_ = 0; //!< control messages received since since_
  foundation::Instant since_{};
  bool busy_ = false;
};

//! Returns the pause before messages are received again; zero at a low rate.
foundation::Duration
GetReceivePause(BusyWindow& aWindow, foundation::Instant aNow);

} // namespace wigeonlb::peer
