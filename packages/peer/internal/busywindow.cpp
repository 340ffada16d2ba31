#include "peer/internal/busywindow.h"

namespace wigeonlb::peer {

using foundation::Duration;

namespace {

constexpr std::size_t kBusyMessages = 10;
constexpr Duration kBusyWindowMs = std::chrono::milliseconds(100);
constexpr Duration kBusyPauseMs = std::chrono::milliseconds(4);

} // namespace

Duration
GetReceivePause(BusyWindow& aWindow, foundation::Instant aNow)
{
  if (aNow - aWindow.since_ >= kBusyWindowMs) {
    aWindow.busy_ = aWindow.messages_ >= kBusyMessages;
    aWindow.messages_ = 0;
    aWindow.since_ = aNow;
  }
  return aWindow.busy_ ? kBusyPauseMs : Duration::zero();
}

} // namespace wigeonlb::peer
