#include "core/traffic/internal/termwrites.h"

#include <algorithm>

#include "core/traffic/internal/context.h"

namespace wigeonlb::core::traffic::internal {

namespace {

bool
MayCommit(const Request& aRequest)
{
  return aRequest.inTransaction_ ? aRequest.class_ == wire::STATEMENT_COMMIT
                                 : aRequest.class_ == wire::STATEMENT_WRITE;
}

//! Ends the request's entry. Returns false if it has none in the current term.
bool
EndWrite(TermWrites& aWrites, Request& aRequest)
{
  const bool isOpen =
    aRequest.write_ != 0 && aRequest.writeTerm_ == aWrites.term_;
  aRequest.write_ = 0;
  if (isOpen) {
    --aWrites.inFlight_;
  }
  return isOpen;
}

} // namespace

void
OnWriteSent(Context& aContext, Request& aRequest)
{
  OnWriteLost(aContext, aRequest); // of an earlier attempt
  Group& group = aContext.group_;
  if (!group.settings_.oneReplicaAcknowledges_ || !MayCommit(aRequest)) {
    return;
  }
  TermWrites& writes = group.writes_;
  if (writes.term_ != aRequest.term_) {
    writes = {};
    writes.term_ = aRequest.term_;
  }
  ++writes.inFlight_;
  aRequest.write_ = ++writes.sent_;
  aRequest.writeTerm_ = writes.term_;
  aRequest.knownBefore_ = routing::GetNewestPosition(group.samples_);
}

void
OnWriteAcknowledged(Context& aContext, Request& aRequest)
{
  TermWrites& writes = aContext.group_.writes_;
  const std::uint64_t number = aRequest.write_;
  if (!EndWrite(writes, aRequest)) {
    return;
  }
  const LogPosition& before = aRequest.knownBefore_;
  if (before.term_ == writes.term_) {
    writes.leastOffset_ = std::max(writes.leastOffset_, before.offset_ + 1);
  }
  writes.mostOffset_ = std::max(writes.mostOffset_, aRequest.commit_.offset_);
  // What was lost before this write was sent is before it in the log, or was
  // rolled back with its connection.
  std::erase_if(writes.lost_,
                [&](std::uint64_t aLast) { return aLast < number; });
  ReportWrites(aContext);
}

void
OnWriteUndone(Context& aContext, Request& aRequest)
{
  if (EndWrite(aContext.group_.writes_, aRequest) &&
      aContext.group_.drainingTerm_) {
    ReportWrites(aContext);
  }
}

void
OnWriteLost(Context& aContext, Request& aRequest)
{
  TermWrites& writes = aContext.group_.writes_;
  if (EndWrite(writes, aRequest)) {
    writes.lost_.push_back(writes.sent_);
    ReportWrites(aContext);
  }
}

void
ReportWrites(Context& aContext)
{
  const Group& group = aContext.group_;
  const TermWrites& writes = group.writes_;
  if (writes.term_ == 0) {
    return;
  }
  auto unknown = static_cast<std::uint32_t>(writes.lost_.size());
  unknown += group.drainingTerm_ ? writes.inFlight_ : 0;
  wire::AcknowledgedWrites report;
  report.set_group(group.state_.group());
  report.set_term(writes.term_);
  report.set_least_offset(writes.leastOffset_);
  report.set_most_offset(writes.mostOffset_);
  report.set_unknown(unknown);
  Emit(aContext, WritesAcknowledged{ std::move(report) });
}

} // namespace wigeonlb::core::traffic::internal
