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

//! The data of an unfinished request that is needed for its records.
struct RecordedRequest
{
  traffic::RequestId id_;
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  foundation::LogPosition floor_;
  bool repeatable_ = false;
  bool readRecorded_ = false;
  std::optional<foundation::LogPosition> committed_;
};

//! The data of a target connection that is needed for its records.
struct RecordedConnection
{
  foundation::TargetName target_;
  traffic::RequestId request_; //!< request of the last statement
  char status_ = 'I'; //!< transaction status; 'I' is outside a transaction
  foundation::LogPosition probed_; //!< from the probe with the last statement
};

//! State from which the records of one owner are derived. It is independent of
//! the state machine's own state, so that a fault in the latter shows up as a
//! difference.
struct TrafficRecorderState
{
  foundation::GroupName group_;
  std::uint64_t owner_ = 0; //!< number of this incarnation of the owner
  wire::GroupState state_;
  //! Serialized form of the last recorded GroupInForce.
  std::string lastGroupInForce_;
  std::optional<traffic::HeldGrant> grant_;
  std::map<foundation::TargetName, wire::SeenPosition> seen_;
  std::map<traffic::SessionId, RecordedRequest> requests_;
  std::map<traffic::ConnectionId, RecordedConnection> connections_;
};

//! Appends the records of one step of an owner. Their number and time are not
//! set.
void
RecordStep(TrafficRecorderState& aRecording,
           const traffic::TrafficEvent& aEvent,
           std::span<const traffic::TrafficAction> aActions,
           foundation::Instant aNow,
           std::vector<wire::TraceRecord>& aRecords);

} // namespace wigeonlb::core::trace
