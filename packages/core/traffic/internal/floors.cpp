#include "core/traffic/internal/floors.h"

#include <algorithm>

#include "core/traffic/internal/acknowledgement.h"
#include "core/traffic/internal/targets.h"

namespace wigeonlb::core::traffic::internal {

namespace {

// The first confirmed term after aTerm, or null.
const wire::TermStart*
FindSuccessor(const wire::GroupState& aGroup, std::uint64_t aTerm)
{
  for (const auto& start : aGroup.history()) {
    if (start.term() > aTerm && start.term() <= aGroup.term()) {
      return &start;
    }
  }
  return nullptr;
}

// The confirmed term, at most aTerm, that wrote the log entry that ends at
// aOffset. A term writes only beyond its start offset.
std::uint64_t
FindWriterTerm(const wire::GroupState& aGroup,
               std::uint64_t aOffset,
               std::uint64_t aTerm)
{
  std::uint64_t writer = aTerm;
  for (auto start = aGroup.history().rbegin(); start != aGroup.history().rend();
       ++start) {
    if (start->term() > aTerm || start->term() > aGroup.term()) {
      continue;
    }
    if (start->start_offset() < aOffset) {
      return start->term();
    }
    writer = start->parent_term() != 0 ? start->parent_term() : writer;
  }
  return writer;
}

// A response with a position is as recent as a status report, so it keeps the
// report fresh without a probe.
void
RefreshReport(Context& aContext, Target& aTarget, const LogPosition& aPosition)
{
  if (!aTarget.report_ || aTarget.probe_.failed_) {
    return;
  }
  auto& report = *aTarget.report_;
  report.set_applied_offset(aPosition.offset_);
  report.set_synced_offset(
    std::max<std::uint64_t>(report.synced_offset(), aPosition.offset_));
  aTarget.reportAt_ = aContext.now_;
}

} // namespace

std::optional<LogPosition>
ComputeAgeFloor(const Group& aGroup, Duration aMaxAge, Instant aNow)
{
  const auto& samples = aGroup.samples_.samples_;
  const auto recent =
    std::ranges::find_if(samples, [&](const routing::PositionSample& aSample) {
      return aSample.lastAt_ >= aNow - aMaxAge;
    });
  if (recent == samples.end()) {
    return std::nullopt;
  }
  return recent->position_;
}

std::optional<LogPosition>
ComputeRequiredPosition(const Group& aGroup,
                        const Request& aRequest,
                        Instant aNow)
{
  LogPosition required = aRequest.floor_;
  if (aRequest.class_ == wire::STATEMENT_PRIMARY_READ) {
    required = std::max(required, routing::GetNewestPosition(aGroup.samples_));
  }
  if (aRequest.maxAge_) {
    const auto floor = ComputeAgeFloor(aGroup, *aRequest.maxAge_, aNow);
    if (!floor) {
      return std::nullopt;
    }
    required = std::max(required, *floor);
  }
  return required;
}

LogPosition
MapFloorToHistory(const Group& aGroup, const LogPosition& aFloor)
{
  if (aFloor.term_ > aGroup.state_.term()) {
    return aFloor; // this host does not know the term yet
  }
  LogPosition floor = aFloor;
  const auto* successor = FindSuccessor(aGroup.state_, floor.term_);
  while (successor != nullptr) {
    floor.offset_ = std::min(floor.offset_, successor->start_offset());
    successor = FindSuccessor(aGroup.state_, successor->term());
  }
  floor.term_ = FindWriterTerm(aGroup.state_, floor.offset_, floor.term_);
  return floor;
}

LogPosition
ToGrantTerm(const Group& aGroup, const LogPosition& aPosition)
{
  const bool earlier = aGroup.grant_ && aPosition.term_ < aGroup.grant_->term_;
  return { earlier ? aGroup.grant_->term_ : aPosition.term_,
           aPosition.offset_ };
}

void
ApplyPosition(Context& aContext,
              const Connection& aConnection,
              const Request& aRequest,
              const StatementFinished& aEvent)
{
  Group& group = aContext.group_;
  if (!aEvent.position_) {
    return;
  }
  Target& target = *aConnection.target_;
  RefreshReport(aContext, target, *aEvent.position_);
  if (aRequest.term_ != 0) {
    const LogPosition position = ToGrantTerm(group, *aEvent.position_);
    AdvancePrimaryPosition(aContext, target, position, aConnection.since_);
    return;
  }
  routing::RecordPosition(
    target.applied_, group.samples_, *aEvent.position_, aContext.now_);
}

} // namespace wigeonlb::core::traffic::internal
