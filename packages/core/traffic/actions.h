#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/traffic/events.h"

namespace wigeonlb::core::traffic {

//! SQLSTATE for a request key that belongs to an already completed request:
//! sent as a notice with a write, and as an error in response to BEGIN.
inline constexpr std::string_view kAlreadyDone = "WL001";

//! Open a connection to a target. The result is reported by ConnectionOpened or
//! ConnectionFailed. After a CloseConnection for the same id no result is
//! expected, and a late one is ignored.
struct OpenConnection
{
  ConnectionId connection_ = 0;
  TargetName target_;
  std::string address_;
  //! Organisation that the target is told; empty: the system itself.
  foundation::Tenant organisation_ = {};
};

//! Close immediately, even with a statement in flight. No event is expected for
//! the id afterwards.
struct CloseConnection
{
  ConnectionId connection_ = 0;
};

//! Send a statement to the target. With a probe, a status query precedes the
//! statement in the same message: its result is reported by ReadProbeAnswered,
//! and rows are held back until AcceptAnswer. Without a probe, rows are
//! forwarded to the caller as they arrive.
//! NOTE The end of the response (CommandComplete, ReadyForQuery) is always held
//! back until Finish, which decides whether it may be forwarded.
struct SendStatement
{
  ConnectionId connection_ = 0;
  RequestId request_;
  bool withProbe_ = false;
  //! The statement was classified as a read, for any target or for the primary.
  //! It must run in a read-only transaction, on the primary as well (`SET
  //! TRANSACTION READ ONLY` first in the same message), so that a lock, or a
  //! write hidden in a view or an operator, is rejected and the statement is
  //! then routed as a write. Not set for targets that check positions, where a
  //! statement that is classified as a read cannot write.
  bool readOnly_ = false;
  //! Query first, in the same message, whether the open transaction has written
  //! anything; StatementFinished::wrote_ has the result.
  bool checkHasWritten_ = false;
  //! Minimum log position: the target rejects the statement with
  //! Refusal::Behind unless its log has reached it. Term 0 when there is no
  //! requirement, or when the target does not check positions.
  LogPosition floor_ = {};
};

//! Forward the rows that were held back for the probe.
struct AcceptAnswer
{
  ConnectionId connection_ = 0;
  RequestId request_;
};

//! Discard the response. The driver reads it to its end and reports
//! StatementFinished, unless CloseConnection comes first.
struct DropAnswer
{
  ConnectionId connection_ = 0;
  RequestId request_;
};

//! Query the target's term and synced position over this connection.
struct ReadCommitPosition
{
  ConnectionId connection_ = 0;
};

//! Database sessions that the target must terminate.
struct SessionTerminations
{
  //! This owner's own sessions, whose connections it has closed.
  std::vector<BackendId> backends_;
  //! Hosts, by the names under which they connect to targets: sessions of these
  //! hosts whose open transaction is at least age_ old are terminated.
  std::vector<std::string> names_;
  Duration age_{ 0 };
};

//! Query the target's status over the owner's single probe connection to it,
//! which the driver opens when needed. The result is reported by ProbeAnswered
//! with the same sequence. The termination requests follow the status query in
//! the same message; their success does not affect the result of the probe.
struct SendProbe
{
  TargetName target_;
  std::string address_;
  std::uint64_t sequence_ = 0;
  SessionTerminations terminations_;
};

//! Close the probe connection because it is unresponsive. The next SendProbe
//! opens a new one.
struct ResetProbe
{
  TargetName target_;
};

//! The outcome of a request; each request gets exactly one.
//! DONE and FAILED: forward the end of the target's response that was held back
//! (a FAILED that stems from the target carries the target's SQLSTATE).
//! NOT_RUN and UNKNOWN: respond with an error built from these fields.
struct Finish
{
  RequestId request_;
  wire::Outcome outcome_ = wire::OUTCOME_DONE;
  std::string sqlstate_;
  std::string message_;
  //! Suggested delay before a retry; zero for none.
  Duration retryAfter_{ 0 };
  //! The session's floor (the minimum log position that its reads must see) is
  //! raised to this position; term 0 leaves it unchanged.
  LogPosition position_;
  char transactionStatus_ = 'I';
  TargetName servedBy_;
  bool byReplica_ = false;
  //! The driver holds the target's own response and forwards it. False for
  //! errors that this host generates, and for a DONE without a response from a
  //! target: a ROLLBACK, a COMMIT outside a transaction, or a COMMIT of a
  //! transaction that the caller knows to have failed. That last one gets the
  //! command tag ROLLBACK.
  bool passTargetAnswer_ = false;
  //! NOT_RUN because this owner has no grant; another owner may have one.
  bool tryAnotherOwner_ = false;
};

//! Send the target a cancel request for the statement running on the
//! connection.
struct CancelOnTarget
{
  ConnectionId connection_ = 0;
};

//! No statement is in flight any more under the revoked or expired term.
struct TermReleased
{
  foundation::TermEpoch term_;
};

//! Reports what this owner has acknowledged. Emitted before the Finish of the
//! request that it includes.
struct WritesAcknowledged
{
  wire::AcknowledgedWrites writes_;
};

using TrafficAction = std::variant<OpenConnection,
                                   CloseConnection,
                                   SendStatement,
                                   AcceptAnswer,
                                   DropAnswer,
                                   ReadCommitPosition,
                                   SendProbe,
                                   ResetProbe,
                                   Finish,
                                   WritesAcknowledged,
                                   CancelOnTarget,
                                   TermReleased>;

} // namespace wigeonlb::core::traffic
