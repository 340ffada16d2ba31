#include "traffic/pendingcloses.h"

#include <algorithm>

namespace wigeonlb::daemon::traffic {

namespace {

using foundation::Duration;
using foundation::Instant;

constexpr Duration kMinResendPauseMs = kCloseCheckIntervalMs;
constexpr Duration kMaxResendPauseMs = std::chrono::milliseconds(1600);

//! As long as an owner keeps an idle transaction by default.
constexpr Duration kCloseLifetimeMs = std::chrono::milliseconds(30000);

} // namespace

void
AddClose(PendingCloses& aCloses,
         const SessionAtOwner& aAt,
         std::uint64_t aRequest,
         Instant aNow)
{
  PendingClose& close = aCloses.closes_[aAt];
  close.request_ = std::max(close.request_, aRequest);
  close.resendPause_ = kMinResendPauseMs;
  close.resendAt_ = aNow + kMinResendPauseMs;
  close.expiresAt_ = aNow + kCloseLifetimeMs;
}

void
ConfirmClose(PendingCloses& aCloses,
             const SessionAtOwner& aAt,
             std::uint64_t aRequest)
{
  const auto found = aCloses.closes_.find(aAt);
  if (found != aCloses.closes_.end() && found->second.request_ <= aRequest) {
    aCloses.closes_.erase(found);
  }
}

void
SupersedeClose(PendingCloses& aCloses, const SessionAtOwner& aAt)
{
  aCloses.closes_.erase(aAt);
}

std::vector<DueClose>
ExtractDueCloses(PendingCloses& aCloses, Instant aNow)
{
  std::erase_if(aCloses.closes_, [&](const auto& aEntry) {
    return aEntry.second.expiresAt_ <= aNow;
  });
  std::vector<DueClose> due;
  for (auto& [at, close] : aCloses.closes_) {
    if (close.resendAt_ > aNow) {
      continue;
    }
    due.push_back({ at, close.request_ });
    close.resendPause_ = std::min(close.resendPause_ * 2, kMaxResendPauseMs);
    close.resendAt_ = aNow + close.resendPause_;
  }
  return due;
}

} // namespace wigeonlb::daemon::traffic
