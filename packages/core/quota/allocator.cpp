#include "core/quota/allocator.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>

namespace wigeonlb::core::quota {

namespace {

using foundation::Duration;
using foundation::Instant;

// Part of the excess that a bucket may hold. The rest is for the tokens that
// are outstanding, which may all be used at once.
constexpr double kBucketShare = 0.25;

// Tokens are handed out for operations that have not arrived yet only while a
// bucket holds more than this part of its size, so that an organisation with a
// low limit doesn't run out where it is needed.
constexpr double kBucketPartForWaiting = 0.25;

// The excess without the bucket is divided among the leaders whose tokens may
// be valid at the same time: one that has led for a token's lifetime, and at
// most two new ones after it, as a new leader waits for a second before it
// decides.
constexpr double kEstablishedShare = 2.0 / 3;
constexpr double kNewLeaderShare = 1.0 / 6;

// Largest assumed difference between the rates of two hosts' clocks.
constexpr int kClockDriftPercent = 1;

constexpr Duration kTokenLifetimeWithDrift =
  kTokenLifetimeMs + kTokenLifetimeMs * kClockDriftPercent / 100;

// Retry delay when the bucket has tokens but too many are outstanding: those
// are used or expire soon.
constexpr Duration kOutstandingRetryMs = std::chrono::milliseconds(20);

// Tokens are handed out early only while more than this part of the limit of
// outstanding tokens is left.
constexpr double kOutstandingPartForWaiting = 0.2;

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

// Operations that a window allows within the limit.
double
GetOperationsPerWindow(const Tolerance& aTolerance, const Limit& aLimit)
{
  return aLimit.ratePerSecond_ * ToSeconds(aTolerance.window_) + aLimit.burst_;
}

// Operations that a window allows beyond the limit.
double
GetExcess(const Tolerance& aTolerance, const Limit& aLimit)
{
  return GetOperationsPerWindow(aTolerance, aLimit) * aTolerance.overage_ +
         aTolerance.slack_;
}

// At least one token, or an organisation with a low limit would get none.
double
GetBucketSize(const Tolerance& aTolerance, const Limit& aLimit)
{
  return std::max(GetExcess(aTolerance, aLimit) * kBucketShare, 1.0);
}

// Every window allows the burst once, so that it counts towards the rate.
double
GetTokensPerSecond(const Tolerance& aTolerance, const Limit& aLimit)
{
  return GetOperationsPerWindow(aTolerance, aLimit) /
         ToSeconds(aTolerance.window_);
}

void
Fill(OrganisationQuota& aQuota, const Tolerance& aTolerance, Instant aNow)
{
  const double elapsed = ToSeconds(aNow - aQuota.filledAt_);
  if (elapsed > 0) {
    aQuota.level_ += elapsed * GetTokensPerSecond(aTolerance, aQuota.limit_);
    aQuota.filledAt_ = aNow;
  }
  aQuota.level_ =
    std::min(aQuota.level_, GetBucketSize(aTolerance, aQuota.limit_));
}

void
RemoveExpired(OrganisationQuota& aQuota, Instant aNow)
{
  for (auto& [holder, outstanding] : aQuota.outstanding_) {
    std::erase_if(outstanding.unconfirmed_,
                  [&](const auto& aIssued) { return aIssued.until_ <= aNow; });
  }
  std::erase_if(aQuota.outstanding_, [&](const auto& aEntry) {
    return aEntry.second.unconfirmed_.empty() &&
           aEntry.second.heldUntil_ <= aNow;
  });
}

// Replaces what is known of a holder's tokens by what it reports.
void
NoteHeld(OrganisationQuota& aQuota,
         const HolderKey& aHolder,
         std::uint64_t aLastReply,
         std::uint32_t aHeld,
         Instant aNow)
{
  Outstanding& outstanding = aQuota.outstanding_[aHolder];
  std::erase_if(outstanding.unconfirmed_, [&](const auto& aIssued) {
    return aIssued.sequence_ <= aLastReply;
  });
  outstanding.held_ = aHeld;
  outstanding.heldUntil_ = aHeld > 0 ? aNow + kTokenLifetimeWithDrift : aNow;
}

// Time until aMissing operations that wait may have tokens.
Duration
GetRetryAfter(const Tolerance& aTolerance,
              const OrganisationQuota& aQuota,
              std::uint32_t aMissing)
{
  if (aQuota.level_ >= aMissing) {
    return kOutstandingRetryMs;
  }
  const double rate = GetTokensPerSecond(aTolerance, aQuota.limit_);
  if (rate <= 0) {
    return kMaxRetryMs;
  }
  const std::chrono::duration<double> wait(
    std::min((aMissing - aQuota.level_) / rate, ToSeconds(kMaxRetryMs)));
  return std::chrono::ceil<Duration>(wait);
}

// Number of tokens to hand out, at most those that are wanted.
std::uint32_t
CountToIssue(const Allocator& aAllocator,
             const OrganisationQuota& aQuota,
             const wire::QuotaDemand& aDemand,
             Instant aNow)
{
  const Tolerance& tolerance = aAllocator.tolerance_;
  const double size = GetBucketSize(tolerance, aQuota.limit_);
  const double limit = GetOutstandingLimit(
    tolerance, aQuota.limit_, aNow - aAllocator.leadingSince_);
  const double room =
    limit - static_cast<double>(CountOutstanding(aQuota, aNow));
  const double forWaiting =
    std::min({ aQuota.level_, room, static_cast<double>(aDemand.waiting()) });
  const double early = std::min(aQuota.level_ - size * kBucketPartForWaiting,
                                room - limit * kOutstandingPartForWaiting);
  const double available = std::max({ forWaiting, early, 0.0 });
  return static_cast<std::uint32_t>(
    std::min(std::floor(available), static_cast<double>(aDemand.wanted())));
}

void
Issue(const Allocator& aAllocator,
      OrganisationQuota& aQuota,
      const HolderKey& aHolder,
      std::uint64_t aSequence,
      const wire::QuotaDemand& aDemand,
      Instant aNow,
      wire::QuotaGrant& aGrant)
{
  const std::uint32_t count = CountToIssue(aAllocator, aQuota, aDemand, aNow);
  aQuota.level_ -= count;
  if (count > 0) {
    aQuota.outstanding_[aHolder].unconfirmed_.push_back(
      { aSequence, count, aNow + kTokenLifetimeWithDrift });
  }
  aGrant.set_tokens(count);
  if (count < aDemand.waiting()) {
    aGrant.set_retry_after_us(static_cast<std::uint64_t>(
      GetRetryAfter(aAllocator.tolerance_, aQuota, aDemand.waiting() - count)
        .count()));
  }
}

// Includes tokens that have expired and are not removed yet: those are what a
// holder reports as expired.
std::uint64_t
CountOutstandingOf(const OrganisationQuota& aQuota, const HolderKey& aHolder)
{
  const auto found = aQuota.outstanding_.find(aHolder);
  if (found == aQuota.outstanding_.end()) {
    return 0;
  }
  std::uint64_t count = found->second.held_;
  for (const IssuedTokens& issued : found->second.unconfirmed_) {
    count += issued.count_;
  }
  return count;
}

// Tokens that have expired unused return to the bucket: the operations that
// they were for have not run. Not more than were known to be outstanding.
void
TakeBackExpired(OrganisationQuota& aQuota,
                const HolderKey& aHolder,
                std::uint64_t aExpired)
{
  // The first report only sets the count: what expired before was handed out by
  // another leader.
  const auto [known, first] = aQuota.expired_.try_emplace(aHolder, aExpired);
  if (!first && aExpired > known->second) {
    aQuota.level_ += static_cast<double>(std::min<std::uint64_t>(
      aExpired - known->second, CountOutstandingOf(aQuota, aHolder)));
  }
  known->second = aExpired;
}

// A holder reports all tokens that it holds, so it has none of the
// organisations that its request doesn't name.
void
NoteNoneHeld(Allocator& aAllocator,
             const HolderKey& aHolder,
             const wire::QuotaRequest& aRequest,
             Instant aNow)
{
  std::set<std::string_view> named;
  for (const wire::QuotaDemand& demand : aRequest.demands()) {
    named.insert(demand.organisation());
  }
  for (auto& [name, quota] : aAllocator.organisations_) {
    if (!named.contains(name) && quota.outstanding_.contains(aHolder)) {
      NoteHeld(quota, aHolder, aRequest.last_reply(), 0, aNow);
    }
  }
}

} // namespace

void
StartLeading(Allocator& aAllocator, Instant aNow)
{
  aAllocator.leadingSince_ = aNow;
  aAllocator.lastSequences_.clear();
  for (auto& [name, quota] : aAllocator.organisations_) {
    quota = OrganisationQuota{ .limit_ = quota.limit_, .filledAt_ = aNow };
  }
}

void
SetLimits(Allocator& aAllocator,
          const std::map<foundation::Tenant, Limit>& aLimits,
          Instant aNow)
{
  std::erase_if(aAllocator.organisations_, [&](const auto& aEntry) {
    return !aLimits.contains(aEntry.first);
  });
  for (const auto& [name, limit] : aLimits) {
    const auto [item, added] = aAllocator.organisations_.try_emplace(name);
    OrganisationQuota& quota = item->second;
    if (added) {
      quota.filledAt_ = aNow;
    }
    Fill(quota, aAllocator.tolerance_, aNow);
    quota.limit_ = limit;
    Fill(quota, aAllocator.tolerance_, aNow);
  }
}

wire::QuotaReply
Allocate(Allocator& aAllocator,
         const foundation::HostId& aHost,
         const wire::QuotaRequest& aRequest,
         Instant aNow)
{
  wire::QuotaReply reply;
  reply.set_sequence(aRequest.sequence());
  reply.set_boot(aRequest.boot());
  reply.set_shard(aRequest.shard());
  reply.set_leader(true);
  const HolderKey holder{ aHost, aRequest.boot(), aRequest.shard() };
  // Start numbers have no order. What is known of the host's other starts is
  // dropped, so that the maps don't grow with each restart.
  const auto isFormerStart = [&](const auto& aEntry) {
    const HolderKey& other = aEntry.first;
    return other.host_ == aHost && other.shard_ == holder.shard_ &&
           other.boot_ != holder.boot_;
  };
  std::erase_if(aAllocator.lastSequences_, isFormerStart);
  for (auto& [name, quota] : aAllocator.organisations_) {
    std::erase_if(quota.expired_, isFormerStart);
  }
  std::uint64_t& last = aAllocator.lastSequences_[holder];
  if (aRequest.sequence() <= last) {
    return reply; // delayed or repeated
  }
  last = aRequest.sequence();
  NoteNoneHeld(aAllocator, holder, aRequest, aNow);
  for (const wire::QuotaDemand& demand : aRequest.demands()) {
    const auto found = aAllocator.organisations_.find(demand.organisation());
    if (found == aAllocator.organisations_.end()) {
      // Without a limit by the configuration in force here, which the sender
      // may not have yet.
      wire::QuotaGrant& grant = *reply.add_grants();
      grant.set_organisation(demand.organisation());
      grant.set_tokens(demand.wanted());
      continue;
    }
    OrganisationQuota& quota = found->second;
    // Before RemoveExpired, which forgets what may be taken back.
    TakeBackExpired(quota, holder, demand.expired());
    Fill(quota, aAllocator.tolerance_, aNow);
    RemoveExpired(quota, aNow);
    NoteHeld(quota, holder, aRequest.last_reply(), demand.held(), aNow);
    if (demand.wanted() > 0) {
      wire::QuotaGrant& grant = *reply.add_grants();
      grant.set_organisation(demand.organisation());
      Issue(
        aAllocator, quota, holder, aRequest.sequence(), demand, aNow, grant);
    }
  }
  return reply;
}

double
GetOutstandingLimit(const Tolerance& aTolerance,
                    const Limit& aLimit,
                    Duration aLeadingFor)
{
  const double allowed =
    GetExcess(aTolerance, aLimit) - GetBucketSize(aTolerance, aLimit);
  const double share =
    aLeadingFor > kTokenLifetimeWithDrift ? kEstablishedShare : kNewLeaderShare;
  return std::max(allowed * share, 1.0);
}

std::uint64_t
CountOutstanding(const OrganisationQuota& aQuota, Instant aNow)
{
  std::uint64_t count = 0;
  for (const auto& [holder, outstanding] : aQuota.outstanding_) {
    count += outstanding.heldUntil_ > aNow ? outstanding.held_ : 0;
    for (const IssuedTokens& issued : outstanding.unconfirmed_) {
      count += issued.until_ > aNow ? issued.count_ : 0;
    }
  }
  return count;
}

} // namespace wigeonlb::core::quota
