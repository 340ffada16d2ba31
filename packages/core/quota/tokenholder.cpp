#include "core/quota/tokenholder.h"

#include <algorithm>
#include <cmath>

namespace wigeonlb::core::quota {

namespace {

using foundation::Duration;
using foundation::Instant;

// Tokens are requested early for the usual demand of this time, so that
// operations run on while the control leader changes. Less than
// kTokenLifetimeMs, or tokens would expire unused.
constexpr std::chrono::duration<double> kPrefetchSeconds{ 0.8 };

// Interval of requests while nothing waits for a token.
constexpr Duration kRequestIntervalMs = std::chrono::milliseconds(200);

// Interval of requests while operations wait: longer than a round trip.
constexpr Duration kUrgentIntervalMs = std::chrono::milliseconds(10);

// A request is repeated after this time without a reply. No other one is sent
// before: a reply that is overtaken by a later one is ignored, and its tokens
// would be lost.
constexpr Duration kReplyTimeoutMs = std::chrono::milliseconds(100);

// An operation waits if the leader's reply says that there may be tokens within
// this time. Otherwise it is refused as over the limit.
constexpr Duration kMaxRetryToWaitMs = std::chrono::milliseconds(50);

// A new leader is expected after about this time.
constexpr Duration kUnconfirmedRetryMs = std::chrono::milliseconds(400);

// Time constant of the moving average of the demand.
constexpr std::chrono::duration<double> kDemandSeconds{ 1 };

// An organisation with less demand has been idle for some seconds.
constexpr double kIdleDemandPerSecond = 0.05;

// Requests without a reply that are remembered.
constexpr std::size_t kMaxUnanswered = 64;

double
GetDemand(const HolderQuota& aQuota, Instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - aQuota.demandAt_;
  return aQuota.demandPerSecond_ *
         std::exp(-std::max(elapsed / kDemandSeconds, 0.0));
}

void
CountDemand(HolderQuota& aQuota, Instant aNow)
{
  aQuota.demandPerSecond_ =
    GetDemand(aQuota, aNow) + 1 / kDemandSeconds.count();
  aQuota.demandAt_ = aNow;
}

void
RemoveExpired(HolderQuota& aQuota, Instant aNow)
{
  while (!aQuota.batches_.empty() && aQuota.batches_.front().until_ <= aNow) {
    aQuota.expired_ += aQuota.batches_.front().count_;
    aQuota.batches_.pop_front();
  }
}

// Takes a token that expires first. Returns when it expires, if there is one.
std::optional<Instant>
TakeToken(HolderQuota& aQuota, Instant aNow)
{
  RemoveExpired(aQuota, aNow);
  if (aQuota.batches_.empty()) {
    return std::nullopt;
  }
  TokenBatch& first = aQuota.batches_.front();
  const Instant until = first.until_;
  if (--first.count_ == 0) {
    aQuota.batches_.pop_front();
  }
  return until;
}

void
AddTokens(HolderQuota& aQuota, std::uint32_t aCount, Instant aUntil)
{
  const auto after =
    std::ranges::upper_bound(aQuota.batches_, aUntil, {}, &TokenBatch::until_);
  aQuota.batches_.insert(after, { aUntil, aCount });
}

bool
IsLeaderSilent(const TokenHolder& aHolder, Instant aNow)
{
  return !aHolder.unansweredSentAt_.empty() &&
         aNow - aHolder.unansweredSentAt_.begin()->second > kMaxWaitMs;
}

Admission
Decide(TokenHolder& aHolder, HolderQuota& aQuota, Instant aNow)
{
  if (const auto until = TakeToken(aQuota, aNow)) {
    return { Decision::Admitted, {}, *until };
  }
  if (aNow < aQuota.overLimitUntil_) {
    return { Decision::OverLimit, aQuota.overLimitUntil_ - aNow, {} };
  }
  if (IsLeaderSilent(aHolder, aNow)) {
    return { Decision::Unconfirmed, kUnconfirmedRetryMs, {} };
  }
  return {};
}

std::uint32_t
GetWanted(const HolderQuota& aQuota, Instant aNow)
{
  const double demand = GetDemand(aQuota, aNow);
  // None for a single operation: its organisation may have a low limit, and the
  // token would expire.
  const double prefetch = demand < kIdleDemandPerSecond
                            ? 0
                            : std::floor(demand * kPrefetchSeconds.count());
  const double wanted = prefetch + aQuota.waiting_;
  const double held = CountTokens(aQuota, aNow);
  return wanted > held ? static_cast<std::uint32_t>(wanted - held) : 0;
}

// A request may be needed at this time.
Instant
GetNextRequest(const TokenHolder& aHolder, bool aUrgent)
{
  const bool isUnanswered =
    aHolder.unansweredSentAt_.contains(aHolder.sequence_);
  const Duration urgent = isUnanswered ? kReplyTimeoutMs : kUrgentIntervalMs;
  return aUrgent ? aHolder.lastSentAt_ + urgent
                 : std::max(aHolder.lastSentAt_, aHolder.lastCheckedAt_) +
                     kRequestIntervalMs;
}

bool
IsWaiting(const TokenHolder& aHolder)
{
  return std::ranges::any_of(aHolder.organisations_, [](const auto& aEntry) {
    return aEntry.second.waiting_ > 0;
  });
}

} // namespace

std::uint32_t
CountTokens(const HolderQuota& aQuota, Instant aNow)
{
  std::uint32_t count = 0;
  for (const TokenBatch& batch : aQuota.batches_) {
    count += batch.until_ > aNow ? batch.count_ : 0;
  }
  return count;
}

Admission
Admit(TokenHolder& aHolder,
      const foundation::Tenant& aOrganisation,
      Instant aNow)
{
  HolderQuota& quota = aHolder.organisations_[aOrganisation];
  CountDemand(quota, aNow);
  if (quota.waiting_ > 0) {
    // Others came first.
    ++quota.waiting_;
    return {};
  }
  const Admission admission = Decide(aHolder, quota, aNow);
  quota.waiting_ += admission.decision_ == Decision::Waits ? 1 : 0;
  return admission;
}

Admission
AdmitWaiting(TokenHolder& aHolder,
             const foundation::Tenant& aOrganisation,
             Instant aSince,
             Instant aNow)
{
  HolderQuota& quota = aHolder.organisations_[aOrganisation];
  Admission admission = Decide(aHolder, quota, aNow);
  if (admission.decision_ == Decision::Waits && aNow - aSince > kMaxWaitMs) {
    admission = { Decision::Unconfirmed, kUnconfirmedRetryMs, {} };
  }
  if (admission.decision_ != Decision::Waits && quota.waiting_ > 0) {
    --quota.waiting_;
  }
  return admission;
}

void
ReturnToken(TokenHolder& aHolder,
            const foundation::Tenant& aOrganisation,
            Instant aUntil,
            Instant aNow)
{
  HolderQuota& quota = aHolder.organisations_[aOrganisation];
  if (aUntil > aNow) {
    AddTokens(quota, 1, aUntil);
  } else {
    ++quota.expired_;
  }
}

std::optional<wire::QuotaRequest>
MakeRequest(TokenHolder& aHolder, Instant aNow)
{
  if (aNow < GetNextRequest(aHolder, IsWaiting(aHolder))) {
    return std::nullopt;
  }
  if (aNow - aHolder.lastSentAt_ > kTokenLifetimeMs) {
    // From before an idle time: tells nothing about the leader of now.
    aHolder.unansweredSentAt_.clear();
  }
  aHolder.lastCheckedAt_ = aNow;
  wire::QuotaRequest request;
  bool wantsAny = false;
  std::erase_if(aHolder.organisations_, [&](const auto& aEntry) {
    const HolderQuota& quota = aEntry.second;
    return quota.waiting_ == 0 && quota.batches_.empty() &&
           GetDemand(quota, aNow) < kIdleDemandPerSecond;
  });
  for (auto& [name, quota] : aHolder.organisations_) {
    RemoveExpired(quota, aNow);
    const std::uint32_t wanted = GetWanted(quota, aNow);
    const std::uint32_t held = CountTokens(quota, aNow);
    if (wanted == 0 && held == 0) {
      continue;
    }
    wantsAny |= wanted > 0;
    wire::QuotaDemand& demand = *request.add_demands();
    demand.set_organisation(name);
    demand.set_wanted(wanted);
    demand.set_held(held);
    demand.set_waiting(quota.waiting_);
    demand.set_expired(quota.expired_);
  }
  if (!wantsAny) {
    return std::nullopt;
  }
  request.set_sequence(++aHolder.sequence_);
  request.set_last_reply(aHolder.lastReply_);
  request.set_boot(aHolder.boot_);
  request.set_shard(aHolder.shard_);
  aHolder.lastSentAt_ = aNow;
  if (aHolder.unansweredSentAt_.size() >= kMaxUnanswered) {
    // Keeps the first one, which tells since when the leader is silent.
    aHolder.unansweredSentAt_.erase(
      std::next(aHolder.unansweredSentAt_.begin()));
  }
  aHolder.unansweredSentAt_.emplace(aHolder.sequence_, aNow);
  return request;
}

void
OnReply(TokenHolder& aHolder, const wire::QuotaReply& aReply, Instant aNow)
{
  if (aReply.boot() != aHolder.boot_ || aReply.shard() != aHolder.shard_ ||
      !aReply.leader()) {
    return;
  }
  const auto sent = aHolder.unansweredSentAt_.find(aReply.sequence());
  if (sent == aHolder.unansweredSentAt_.end() ||
      aReply.sequence() <= aHolder.lastReply_) {
    return;
  }
  const Instant sentAt = sent->second;
  aHolder.lastReply_ = aReply.sequence();
  aHolder.unansweredSentAt_.erase(aHolder.unansweredSentAt_.begin(),
                                  std::next(sent));
  for (const wire::QuotaGrant& grant : aReply.grants()) {
    const auto found = aHolder.organisations_.find(grant.organisation());
    if (found == aHolder.organisations_.end()) {
      continue;
    }
    if (grant.tokens() > 0) {
      AddTokens(found->second, grant.tokens(), sentAt + kTokenLifetimeMs);
    }
    const Duration retryAfter(static_cast<std::int64_t>(
      std::min<std::uint64_t>(grant.retry_after_us(), kMaxRetryMs.count())));
    if (retryAfter > kMaxRetryToWaitMs) {
      found->second.overLimitUntil_ = aNow + retryAfter;
    }
  }
}

Instant
GetNextWork(const TokenHolder& aHolder)
{
  const bool isWaiting = IsWaiting(aHolder);
  const bool hasDemand =
    std::ranges::any_of(aHolder.organisations_, [&](const auto& aEntry) {
      return GetDemand(aEntry.second, aHolder.lastSentAt_) >=
             kIdleDemandPerSecond;
    });
  return isWaiting || hasDemand ? GetNextRequest(aHolder, isWaiting)
                                : Instant::max();
}

} // namespace wigeonlb::core::quota
