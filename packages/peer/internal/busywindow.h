#pragma once

#include <cstddef>

#include "foundation/clock.h"

namespace wigeonlb::peer {

//! Finds whether so many control messages arrive that they are better handled
//! several at once: each wake-up of a thread costs more than a message does.
struct BusyWindow
{
  std::size_t messages_ = 0; //!< control messages received since since_
  foundation::Instant since_{};
  bool busy_ = false;
};

//! The pause before messages are received again; zero when few arrive.
foundation::Duration
GetReceivePause(BusyWindow& aWindow, foundation::Instant aNow);

} // namespace wigeonlb::peer
