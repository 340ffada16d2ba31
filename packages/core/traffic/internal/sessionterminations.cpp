#include "core/traffic/internal/sessionterminations.h"

#include "core/configuration/groupoptions.h"
#include "core/traffic/internal/grants.h"

namespace wigeonlb::core::traffic::internal {

namespace {

// More than the connections to one target; reached only if the target does not
// respond to the requests.
constexpr std::size_t kMaxBackends = 64;

// Maximum time from the decision to terminate sessions until the target runs
// the request.
constexpr Duration kMaxRequestDelay = 250ms;

bool
MayTerminateHolders(const Context& aContext, const Target& aTarget)
{
  const Group& group = aContext.group_;
  const bool holds = MayUsePrimary(group, aContext.now_) ||
                     !group.settings_.guards_.terminateOnlyUnderGrant_;
  return group.grant_ && holds && !group.grant_->endedHolders_.empty() &&
         aTarget.abandoned_.holdersDueAt_ <= aContext.now_;
}

} // namespace

void
ScheduleTermination(Target& aTarget, BackendId aBackend)
{
  auto& abandoned = aTarget.abandoned_;
  if (aBackend == 0) {
    return;
  }
  abandoned.backends_.push_back(aBackend);
  if (abandoned.backends_.size() > kMaxBackends) {
    abandoned.backends_.pop_front();
    abandoned.inFlightCount_ -= abandoned.inFlightCount_ > 0 ? 1 : 0;
  }
}

SessionTerminations
CollectTerminations(Context& aContext, Target& aTarget)
{
  Group& group = aContext.group_;
  auto& abandoned = aTarget.abandoned_;
  SessionTerminations terminations;
  if (!group.settings_.guards_.terminateSessions_) {
    return terminations;
  }
  terminations.backends_.assign(abandoned.backends_.begin(),
                                abandoned.backends_.end());
  abandoned.inFlightCount_ = abandoned.backends_.size();
  if (MayTerminateHolders(aContext, aTarget)) {
    terminations.names_ = group.grant_->endedHolders_;
    terminations.age_ =
      configuration::OptionDuration(group.state_, "lease") + kMaxRequestDelay;
    abandoned.holdersDueAt_ =
      aContext.now_ + group.settings_.terminationInterval_;
  }
  aContext.counters_.terminationRequests_ +=
    terminations.backends_.size() + terminations.names_.size();
  return terminations;
}

void
OnTerminationsSettled(Target& aTarget, bool aAnswered)
{
  auto& abandoned = aTarget.abandoned_;
  if (aAnswered) {
    abandoned.backends_.erase(
      abandoned.backends_.begin(),
      abandoned.backends_.begin() +
        static_cast<std::ptrdiff_t>(abandoned.inFlightCount_));
  }
  abandoned.inFlightCount_ = 0;
}

} // namespace wigeonlb::core::traffic::internal
