#include "core/consensus/internal/messagecheck.h"

namespace wigeonlb::core::consensus {

namespace {

//! Terms and indices stay far from overflow.
constexpr std::uint64_t kMaxNumber = std::uint64_t{ 1 } << 62U;

//! Whether the entries follow the previous index without a gap, and no change
//! leaves the system without voters.
bool
IsWellFormed(const wire::AppendRequest& aRequest)
{
  std::uint64_t index = aRequest.previous_index();
  if (index >= kMaxNumber) {
    return false;
  }
  for (const wire::ConsensusEntry& entry : aRequest.entries()) {
    const bool lacksVoters =
      entry.record().has_members() && entry.record().members().voters().empty();
    if (entry.index() != ++index || lacksVoters) {
      return false;
    }
  }
  return true;
}

bool
IsWellFormed(const wire::SnapshotRequest& aRequest)
{
  return aRequest.last_index() > 0 && aRequest.last_index() < kMaxNumber &&
         !aRequest.members().voters().empty();
}

//! Whether a reply can be that to a request of this leader: about entries that
//! it has, sent before now.
bool
IsPossibleReply(const ConsensusState& aState,
                std::uint64_t aIndex,
                std::uint64_t aRound,
                foundation::Instant aNow)
{
  const auto now = static_cast<std::uint64_t>(aNow.time_since_epoch().count());
  return aIndex <= LastIndex(aState.log_) && aRound <= now;
}

} // namespace

bool
IsWellFormed(const ConsensusState& aState,
             const wire::ConsensusMessage& aMessage,
             foundation::Instant aNow)
{
  if (aMessage.term() >= kMaxNumber) {
    return false;
  }
  if (aMessage.has_append_request()) {
    return IsWellFormed(aMessage.append_request());
  }
  if (aMessage.has_snapshot_request()) {
    return IsWellFormed(aMessage.snapshot_request());
  }
  const bool answersLeader =
    aState.role_ == Role::Leader && aMessage.term() == aState.hardState_.term();
  if (!answersLeader) {
    return true;
  }
  if (aMessage.has_append_reply()) {
    const wire::AppendReply& reply = aMessage.append_reply();
    return IsPossibleReply(aState, reply.match_index(), reply.round(), aNow);
  }
  if (aMessage.has_snapshot_reply()) {
    const wire::SnapshotReply& reply = aMessage.snapshot_reply();
    return IsPossibleReply(aState, reply.last_index(), reply.round(), aNow);
  }
  return true;
}

} // namespace wigeonlb::core::consensus
