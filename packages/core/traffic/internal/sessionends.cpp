#include "core/traffic/internal/sessionends.h"

#include "core/configuration/groupoptions.h"
#include "core/traffic/internal/grants.h"

namespace wigeonlb::core::traffic::internal {

namespace {

// More than a target has connections; only what it can't take piles up.
constexpr std::size_t kMostBackends = 64;

// Time that an order may take on its way.
constexpr Duration kOrderDelay = 250ms;

bool
MayEndHolders(const Context& aContext, const Target& aTarget)
{
  const Group& group = aContext.group_;
  const bool holds = MayUsePrimary(group, aContext.now_) ||
                     !group.settings_.guards_.endsOnlyUnderGrant_;
  return group.grant_ && holds && !group.grant_->endedHolders_.empty() &&
         aTarget.left_.holdersDue_ <= aContext.now_;
}

} // namespace

void
LeaveSession(Target& aTarget, BackendId aBackend)
{
  auto& left = aTarget.left_;
  if (aBackend == 0) {
    return;
  }
  left.backends_.push_back(aBackend);
  if (left.backends_.size() > kMostBackends) {
    left.backends_.pop_front();
    left.sent_ -= left.sent_ > 0 ? 1 : 0;
  }
}

SessionTerminations
TakeEnds(Context& aContext, Target& aTarget)
{
  Group& group = aContext.group_;
  auto& left = aTarget.left_;
  SessionTerminations ends;
  if (!group.settings_.guards_.endsSessions_) {
    return ends;
  }
  ends.backends_.assign(left.backends_.begin(), left.backends_.end());
  left.sent_ = left.backends_.size();
  if (MayEndHolders(aContext, aTarget)) {
    ends.names_ = group.grant_->endedHolders_;
    ends.age_ =
      configuration::OptionDuration(group.state_, "lease") + kOrderDelay;
    left.holdersDue_ = aContext.now_ + group.settings_.endInterval_;
  }
  aContext.counters_.terminationRequests_ +=
    ends.backends_.size() + ends.names_.size();
  return ends;
}

void
ForgetEnds(Target& aTarget, bool aAnswered)
{
  auto& left = aTarget.left_;
  if (aAnswered) {
    left.backends_.erase(left.backends_.begin(),
                         left.backends_.begin() +
                           static_cast<std::ptrdiff_t>(left.sent_));
  }
  left.sent_ = 0;
}

} // namespace wigeonlb::core::traffic::internal
