#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "core/quota/allocator.h"

namespace wigeonlb::core::quota {

//! Tokens that expire at the same time.
struct TokenBatch
{
  foundation::Instant until_;
  std::uint32_t count_ = 0;
};

//! What a holder knows of one organisation.
struct HolderQuota
{
  std::deque<TokenBatch> batches_; //!< first the one that expires first
  std::uint32_t waiting_ = 0;      //!< operations that wait for a token
  //! Tokens that have expired unused.
  std::uint64_t expired_ = 0;
  //! Moving average of the arrivals, including refused ones, as of demandAt_.
  double demandPerSecond_ = 0;
  foundation::Instant demandAt_;
  //! Until then the leader has nothing left within the limit.
  foundation::Instant overLimitUntil_;
};

//! Admits the operations of limited organisations on one traffic thread with
//! tokens from the control leader.
struct TokenHolder
{
  std::uint64_t boot_ = 0;
  std::uint32_t shard_ = 0;
  std::map<foundation::Tenant, HolderQuota> organisations_;
  std::uint64_t sequence_ = 0;
  std::uint64_t lastReply_ = 0;
  //! When the requests without a reply were sent, by sequence.
  std::map<std::uint64_t, foundation::Instant> unansweredSentAt_;
  foundation::Instant lastSentAt_;
  foundation::Instant lastCheckedAt_; //!< whether a request is needed
};

enum class Decision
{
  Admitted,    //!< with a token, which is used up
  Waits,       //!< for tokens that were or will be requested
  OverLimit,   //!< the limit is used up
  Unconfirmed, //!< no token came in time
};

struct Admission
{
  Decision decision_ = Decision::Waits;
  foundation::Duration retryAfter_{ 0 };
  foundation::Instant tokenUntil_; //!< if Admitted
};

//! Longest time that an operation waits for a token. A leader that has not
//! answered for this long has failed or can't be reached.
constexpr foundation::Duration kMaxWaitMs = std::chrono::milliseconds(300);

//! Decides about an operation that has arrived.
Admission
Admit(TokenHolder& aHolder,
      const foundation::Tenant& aOrganisation,
      foundation::Instant aNow);

//! Decides again about an operation that has waited since aSince. If it then
//! doesn't wait any more, it is no longer counted as waiting.
Admission
AdmitWaiting(TokenHolder& aHolder,
             const foundation::Tenant& aOrganisation,
             foundation::Instant aSince,
             foundation::Instant aNow);

//! Returns the token of an operation that was just admitted and is not run.
//! NOTE Only before the next request to the leader, which takes a token that is
//! no longer reported as held for used.
void
ReturnToken(TokenHolder& aHolder,
            const foundation::Tenant& aOrganisation,
            foundation::Instant aUntil,
            foundation::Instant aNow);

//! The request to send to the leader now, if any.
std::optional<wire::QuotaRequest>
MakeRequest(TokenHolder& aHolder, foundation::Instant aNow);

//! Takes the tokens of a reply. Ignores one that is not for this start, or
//! older than another one.
void
OnReply(TokenHolder& aHolder,
        const wire::QuotaReply& aReply,
        foundation::Instant aNow);

//! When MakeRequest may return a request, or waiting operations must be decided
//! about again; the maximum if nothing waits and no demand is expected.
foundation::Instant
GetNextWork(const TokenHolder& aHolder);

//! Tokens of an organisation that may be used now.
std::uint32_t
CountTokens(const HolderQuota& aQuota, foundation::Instant aNow);

} // namespace wigeonlb::core::quota
