#include "traffic/quotagate.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wigeonlb::daemon::traffic {

namespace {

namespace quota = core::quota;
using foundation::SteadyNow;

//! Requests of one organisation that may wait for tokens at the same time. More
//! would wait for longer than kMaxWaitMs at all but the highest rates.
constexpr std::ptrdiff_t kMaxWaiting = 100;

//! Decision in the metrics about requests beyond kMaxWaiting.
constexpr std::string_view kTooManyWaiting = "too_many_waiting";

//! Retry delay that is suggested for requests beyond kMaxWaiting.
constexpr foundation::Duration kTooManyRetryMs = std::chrono::milliseconds(200);

//! So that a due time in the past doesn't occupy the thread.
constexpr foundation::Duration kMinTimerMs = std::chrono::milliseconds(1);

std::string_view
GetDecisionName(quota::Decision aDecision)
{
  switch (aDecision) {
    case quota::Decision::Admitted:
      return "admitted";
    case quota::Decision::OverLimit:
      return "over_limit";
    case quota::Decision::Unconfirmed:
      return "unconfirmed";
    case quota::Decision::Waits:
      break;
  }
  return "waits";
}

std::string
DescribeRefusal(quota::Decision aDecision, const std::string& aOrganisation)
{
  return aDecision == quota::Decision::OverLimit
           ? "organisation " + aOrganisation + " has used up its rate limit"
           : "the control leader has not confirmed the quota of organisation " +
               aOrganisation + " in time";
}

//! Shortens the times that are left to a request by the time that it waited.
void
TakeOffWait(wire::ForwardRequest& aRequest, foundation::Duration aWait)
{
  const auto wait = static_cast<std::uint64_t>(aWait.count());
  const std::uint64_t deadline = aRequest.deadline_us();
  aRequest.set_deadline_us(deadline > wait ? deadline - wait : 0);
  if (aRequest.aim_us() != 0) {
    const std::uint64_t aim = aRequest.aim_us();
    aRequest.set_aim_us(aim > wait ? aim - wait : 1); // 0 means none
  }
}

bool
EndsTransaction(const wire::ForwardRequest& aRequest)
{
  return aRequest.statement_class() == wire::STATEMENT_COMMIT ||
         aRequest.statement_class() == wire::STATEMENT_ROLLBACK;
}

} // namespace

QuotaGate::QuotaGate(boost::asio::io_context& aContext,
                     std::uint64_t aBoot,
                     std::uint32_t aShard,
                     TrafficMetrics* aMetrics,
                     QuotaCallbacks aCallbacks)
  : metrics_(aMetrics)
  , callbacks_(std::move(aCallbacks))
  , timer_(aContext)
{
  holder_.boot_ = aBoot;
  holder_.shard_ = aShard;
}

bool
QuotaGate::NeedsToken(const RoutingTablePointer& aRoutes,
                      const wire::ForwardRequest& aRequest)
{
  if (aRoutes == nullptr || aRoutes->organisations_ == nullptr ||
      aRequest.in_transaction() || EndsTransaction(aRequest)) {
    return false;
  }
  // An organisation that this host doesn't know yet may have a limit.
  const foundation::Tenant& organisation = aRequest.tenant();
  return !organisation.empty() &&
         !aRoutes->organisations_->unlimited_.contains(organisation);
}

void
QuotaGate::Admit(const wire::PeerMessage& aMessage)
{
  const std::string& organisation = aMessage.forward_request().tenant();
  const foundation::Instant now = SteadyNow();
  const auto waiting =
    std::ranges::count_if(waiting_, [&](const Waiting& aWaiting) {
      return aWaiting.message_.forward_request().tenant() == organisation;
    });
  if (waiting >= kMaxWaiting) {
    Refuse(aMessage,
           kTooManyWaiting,
           "too many operations of organisation " + organisation +
             " wait for its quota",
           kTooManyRetryMs);
    return;
  }
  if (!CarryOut(quota::Admit(holder_, organisation, now), aMessage)) {
    waiting_.push_back({ aMessage, now });
  }
  Work();
}

void
QuotaGate::OnReply(const wire::QuotaReply& aReply)
{
  quota::OnReply(holder_, aReply, SteadyNow());
  Work();
}

bool
QuotaGate::CarryOut(const quota::Admission& aAdmission,
                    const wire::PeerMessage& aMessage)
{
  const std::string& organisation = aMessage.forward_request().tenant();
  if (aAdmission.decision_ == quota::Decision::Waits) {
    return false;
  }
  if (aAdmission.decision_ != quota::Decision::Admitted) {
    Refuse(aMessage,
           GetDecisionName(aAdmission.decision_),
           DescribeRefusal(aAdmission.decision_, organisation),
           aAdmission.retryAfter_);
    return true;
  }
  if (!callbacks_.run_(aMessage)) {
    quota::ReturnToken(
      holder_, organisation, aAdmission.tokenUntil_, SteadyNow());
  } else if (metrics_ != nullptr) {
    metrics_->RecordQuotaDecision(organisation,
                                  GetDecisionName(aAdmission.decision_));
  }
  return true;
}

void
QuotaGate::Refuse(const wire::PeerMessage& aMessage,
                  std::string_view aDecision,
                  const std::string& aReason,
                  foundation::Duration aRetryAfter)
{
  if (metrics_ != nullptr) {
    metrics_->RecordQuotaDecision(aMessage.forward_request().tenant(),
                                  aDecision);
  }
  callbacks_.refuse_(aMessage, aReason, aRetryAfter);
}

void
QuotaGate::Work()
{
  if (deciding_) {
    return; // called again by a request that DecideWaiting runs or refuses
  }
  deciding_ = true;
  DecideWaiting();
  deciding_ = false;
  if (auto request = quota::MakeRequest(holder_, SteadyNow())) {
    callbacks_.send_(std::move(*request));
  }
  SetTimer();
}

//! Requests of one organisation are decided in their order of arrival.
void
QuotaGate::DecideWaiting()
{
  const foundation::Instant now = SteadyNow();
  std::set<foundation::Tenant> stillWaiting;
  std::deque<Waiting> undecided;
  std::deque<Waiting> waiting = std::exchange(waiting_, {});
  for (Waiting& item : waiting) {
    const std::string& organisation = item.message_.forward_request().tenant();
    if (!stillWaiting.contains(organisation)) {
      const quota::Admission admission =
        quota::AdmitWaiting(holder_, organisation, item.since_, now);
      if (admission.decision_ == quota::Decision::Admitted) {
        TakeOffWait(*item.message_.mutable_forward_request(),
                    now - item.since_);
      }
      if (CarryOut(admission, item.message_)) {
        continue;
      }
    }
    stillWaiting.insert(organisation);
    undecided.push_back(std::move(item));
  }
  // Requests that have arrived meanwhile come after them.
  std::ranges::move(waiting_, std::back_inserter(undecided));
  waiting_ = std::move(undecided);
}

void
QuotaGate::SetTimer()
{
  const foundation::Instant due = quota::GetNextWork(holder_);
  if (due == timerDue_) {
    return;
  }
  timerDue_ = due;
  if (due == foundation::Instant::max()) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(std::max(due - SteadyNow(), kMinTimerMs));
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      timerDue_ = foundation::Instant::max();
      Work();
    }
  });
}

} // namespace wigeonlb::daemon::traffic
