#include "core/consensus/internal/snapshottransfer.h"

#include <algorithm>

#include "core/consensus/internal/replication.h"

namespace wigeonlb::core::consensus {

namespace {

void
Reply(StepContext& aContext,
      const wire::ConsensusMessage& aRequest,
      std::uint64_t aNextOffset,
      std::uint64_t aLastIndex)
{
  wire::ConsensusMessage message = NewMessage(aContext.state_, aRequest.from());
  wire::SnapshotReply& reply = *message.mutable_snapshot_reply();
  reply.set_next_offset(aNextOffset);
  reply.set_last_index(aLastIndex);
  reply.set_round(aRequest.snapshot_request().round());
  Send(aContext, std::move(message));
}

// Appends a part to the incoming snapshot. Returns false if the part is not the
// next one.
bool
AppendSnapshotPart(ConsensusState& aState,
                   const wire::ConsensusMessage& aMessage)
{
  const wire::SnapshotRequest& request = aMessage.snapshot_request();
  std::optional<IncomingSnapshot>& incoming = aState.incoming_;
  const bool same = incoming && incoming->lastIndex_ == request.last_index() &&
                    incoming->lastTerm_ == request.last_term() &&
                    incoming->from_ == aMessage.from() &&
                    incoming->leaderTerm_ == aMessage.term();
  if (!same) {
    incoming = IncomingSnapshot{ request.last_index(),
                                 request.last_term(),
                                 aMessage.from(),
                                 aMessage.term(),
                                 "" };
  }
  if (request.offset() != incoming->bytes_.size()) {
    return false;
  }
  incoming->bytes_ += request.chunk();
  return true;
}

bool
Install(StepContext& aContext, const wire::SnapshotRequest& aRequest)
{
  ConsensusState& state = aContext.state_;
  wire::MemberSnapshot snapshot;
  const bool valid =
    snapshot.mutable_state()->ParseFromString(state.incoming_->bytes_);
  state.incoming_.reset();
  if (!valid) {
    return false;
  }
  snapshot.set_last_index(aRequest.last_index());
  snapshot.set_last_term(aRequest.last_term());
  *snapshot.mutable_members() = aRequest.members();
  ResetToSnapshot(state.log_, snapshot);
  state.commitIndex_ = snapshot.last_index();
  aContext.actions_.emplace_back(InstallSnapshot{ snapshot, {} });
  AfterCommit(aContext);
  return true;
}

} // namespace

void
SendSnapshotPart(StepContext& aContext,
                 const foundation::HostId& aHost,
                 Progress& aProgress,
                 std::size_t aMaxBytes)
{
  const ConsensusState& state = aContext.state_;
  if (!aProgress.snapshot_) {
    aProgress.snapshot_ = state.log_.snapshot_;
    aProgress.snapshotOffset_ = 0;
  }
  const StoredSnapshot& snapshot = *aProgress.snapshot_;
  const std::size_t offset = aProgress.snapshotOffset_;
  const std::size_t size = std::min(snapshot.bytes_.size() - offset, aMaxBytes);
  wire::ConsensusMessage message = NewMessage(state, aHost);
  wire::SnapshotRequest& request = *message.mutable_snapshot_request();
  request.set_last_index(snapshot.index_);
  request.set_last_term(snapshot.term_);
  *request.mutable_members() = snapshot.members_;
  request.set_offset(offset);
  request.set_chunk(snapshot.bytes_.substr(offset, size));
  request.set_done(offset + size == snapshot.bytes_.size());
  request.set_round(aContext.now_.time_since_epoch().count());
  Send(aContext, std::move(message));
}

void
HandleSnapshotRequest(StepContext& aContext,
                      const wire::ConsensusMessage& aMessage)
{
  ConsensusState& state = aContext.state_;
  const wire::SnapshotRequest& request = aMessage.snapshot_request();
  // If the log has the snapshot's last entry, it is kept and the snapshot is
  // not installed, because this host may have acknowledged entries after it.
  if (HasEntry(state.log_, request.last_index(), request.last_term())) {
    AdvanceCommit(aContext, request.last_index());
  }
  if (request.last_index() <= state.commitIndex_) {
    Reply(aContext, aMessage, 0, request.last_index());
    return;
  }
  if (!AppendSnapshotPart(state, aMessage) || !request.done()) {
    Reply(aContext, aMessage, state.incoming_->bytes_.size(), 0);
    return;
  }
  const bool installed = Install(aContext, request);
  Reply(aContext, aMessage, 0, installed ? request.last_index() : 0);
}

void
HandleSnapshotReply(StepContext& aContext,
                    const wire::ConsensusMessage& aMessage)
{
  const wire::SnapshotReply& reply = aMessage.snapshot_reply();
  Progress* progress = RecordAnswer(aContext, aMessage, reply.round());
  if (!progress) {
    return;
  }
  if (reply.last_index() > 0) {
    progress->snapshot_.reset();
    RecordMatch(aContext, aMessage.from(), reply.last_index());
    return;
  }
  if (!progress->snapshot_ || progress->inFlightSince_) {
    return; // a late answer
  }
  const std::uint64_t offset = std::min<std::uint64_t>(
    reply.next_offset(), progress->snapshot_->bytes_.size());
  // A part that was not accepted is sent again with the next heartbeat.
  if (offset != progress->snapshotOffset_) {
    progress->snapshotOffset_ = offset;
    SendUpdate(aContext, aMessage.from());
  }
}

} // namespace wigeonlb::core::consensus
