#pragma once

#include <cstdint>
#include <vector>

namespace wigeonlb::core::traffic::internal {

struct Context;
struct Request;

//! The writes that this owner has sent to the primary in one term, while they
//! are acknowledged once one replica has received them. The control leader is
//! told up to which position they are acknowledged: only a target that holds
//! these may replace the primary.
//! A commit's own position isn't known, only the end of the log before it was
//! sent and after it was completed.
struct TermWrites
{
  std::uint64_t term_ = 0;
  std::uint64_t leastOffset_ = 0; //!< see wire::AcknowledgedWrites
  std::uint64_t mostOffset_ = 0;
  std::uint64_t sent_ = 0; //!< number of the last write that was sent
  std::uint32_t inFlight_ = 0;
  //! For each write that was lost without an answer, the number of the last
  //! write that was sent before its loss.
  std::vector<std::uint64_t> lost_;
};

//! Called when a request is sent to the primary.
void
OnWriteSent(Context& aContext, Request& aRequest);

//! Called before the request is acknowledged to its caller.
void
OnWriteAcknowledged(Context& aContext, Request& aRequest);

//! Called when the request has ended without a commit.
void
OnWriteUndone(Context& aContext, Request& aRequest);

//! Called when the request's outcome will not be known.
void
OnWriteLost(Context& aContext, Request& aRequest);

//! Tells the control leader of the writes in flight as well, because they may
//! end without an answer.
void
ReportWrites(Context& aContext);

} // namespace wigeonlb::core::traffic::internal
