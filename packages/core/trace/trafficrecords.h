#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/traffic/actions.h"
#include "core/traffic/events.h"
#include "trace.pb.h"

namespace wigeonlb::core::trace {

//! A request that has no Finish yet, as far as records need it.
struct RecordedRequest
{
  traffic::RequestId id_;
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  foundation::LogPosition floor_;
  bool repeatable_ = false;
  bool sentToTarget_ = false;
  bool readRecorded_ = false;
  std::optional<foundation::LogPosition> committed_;
};

struct RecordedConnection
{
  foundation::TargetName target_;
  traffic::RequestId request_; //!< of the last statement
  char status_ = 'I';
  foundation::LogPosition probed_; //!< seen by the last statement's probe
};

//! What one owner's records are made from. Kept apart from the state machine's
//! own memory, so that the two can differ.
struct TrafficRecorderState
{
  foundation::GroupName group_;
  std::uint64_t owner_ = 0; //!< number of this life of the owner
  wire::GroupState state_;
  std::string lastGroupInForce_; //!< of the last GroupInForce recorded
  std::optional<traffic::HeldGrant> grant_;
  std::map<foundation::TargetName, wire::SeenPosition> seen_;
  std::map<traffic::SessionId, RecordedRequest> requests_;
  std::map<traffic::ConnectionId, RecordedConnection> connections_;
};

//! Appends the records of one step of an owner, without number and time.
void
RecordStep(TrafficRecorderState& aRecording,
           const traffic::TrafficEvent& aEvent,
           std::span<const traffic::TrafficAction> aActions,
           foundation::Instant aNow,
           std::vector<wire::TraceRecord>& aRecords);

} // namespace wigeonlb::core::trace
