#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "forward.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "foundation/logposition.h"
#include "foundation/termepoch.h"

namespace wigeonlb::core::traffic {

using foundation::Duration;
using foundation::Instant;
using foundation::LogPosition;
using foundation::TargetName;

//! Identifies a connection to a target; assigned by the core and never reused.
using ConnectionId = std::uint64_t;

//! Identifies a caller's session at this owner. The driver derives it from the
//! entry host, that host's boot number and the session's number there.
using SessionId = std::uint64_t;

//! The target's own id for the database session behind a connection; 0 for
//! none.
using BackendId = std::int32_t;

//! One statement of a session. A session has at most one at a time, and its
//! request numbers increase.
struct RequestId
{
  SessionId session_ = 0;
  std::uint64_t request_ = 0;

  auto operator<=>(const RequestId&) const = default;
};

//! The permission to send writes to a primary, with the end of its lease on
//! this host's clock.
struct HeldGrant
{
  std::uint64_t term_ = 0;
  TargetName primary_;
  //! Maximum number of open or opening connections to each target of the group.
  std::uint32_t share_ = 0;
  Instant expires_;
  //! Hosts whose grant for the group has ended and from which the control
  //! leader has received nothing since, by the names under which they connect
  //! to targets. Such a host may be frozen and still hold locks there.
  std::vector<std::string> endedHolders_ = {};
  std::uint64_t epoch_ = 0; //!< of the term
};

//! The group's replicated state or its announced targets have changed.
struct GroupChanged
{
  wire::GroupState group_;
  //! Targets that are announced and not leaving.
  std::vector<TargetName> usable_;
  //! Number of live owners of the group, this one included; a target's slots
  //! are divided by it.
  std::uint32_t owners_ = 1;
  //! No control leader has been reachable since the host started. Reads are
  //! then served over the connections that an owner may open without a grant.
  bool noLeaderSinceStart_ = false;
  //! A connection carries the statements of one organisation only.
  bool byOrganisation_ = false;
};

//! The grant was issued, renewed or (empty) lost. A renewal of the same term
//! only changes the share and the end of the lease.
struct GrantChanged
{
  std::optional<HeldGrant> grant_;
};

//! The control leader revokes a term: no new statement is sent under it.
//! Commits in flight may still be acknowledged until the drain ends. Any that
//! remain then are abandoned, and TermReleased follows.
struct StopNewWrites
{
  std::uint64_t term_ = 0;
  //! False when the grant is merely not renewed: the term may be issued again.
  bool revoked_ = true;
  //! Time limit for statements in flight; Settings::revokeDrain_ when empty. A
  //! planned switchover allows more.
  std::optional<Duration> drain_;
  std::uint64_t epoch_ = 0; //!< of the term
};

//! A statement to run. Each one gets exactly one Finish, unless a later one of
//! its session arrives first: the entry host has then given it up, and it is
//! dropped.
struct RequestArrived
{
  RequestId id_;
  foundation::Tenant tenant_;
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  //! Length of the statement's text, which the driver keeps until Finish.
  std::uint64_t statementBytes_ = 0;
  //! The session's floor: the minimum log position that its reads must see.
  LogPosition floor_;
  //! The session has no session token. Its floor becomes a position that is
  //! read from the primary after the request has arrived.
  bool needsFreshFloor_ = false;
  //! Staleness bound of a read.
  std::optional<Duration> maxAge_;
  Instant deadline_;
  //! End of the caller's latency objective, if it is before the deadline.
  std::optional<Instant> latencyObjectiveAt_;
  std::uint32_t priority_ = 0; //!< 0 is the highest
  bool repeatable_ = false;
  foundation::DataCentre dataCentre_;
  //! A write or BEGIN with a request key: the target runs it at most once.
  bool keyed_ = false;
  //! The statement belongs to the session's open transaction. If this owner has
  //! no such transaction, the transaction was lost or the statement was delayed
  //! on its way, and it must not run outside the transaction.
  bool inTransaction_ = false;
  //! Number of the request that began the transaction to which the statement
  //! belongs; 0 for none. Empty if the entry host only sets inTransaction_.
  std::optional<std::uint64_t> transaction_ = std::nullopt;
};

//! An OpenConnection succeeded; the connection is idle.
struct ConnectionOpened
{
  ConnectionId connection_ = 0;
  BackendId backend_ = 0;
};

//! An OpenConnection failed; its id is no longer valid.
struct ConnectionFailed
{
  ConnectionId connection_ = 0;
};

//! The target or the network closed a connection that was open.
struct ConnectionClosed
{
  ConnectionId connection_ = 0;
  //! Rows of its statement were forwarded to the caller, or may have been. In
  //! that case even a repeatable statement is not sent again.
  bool rowsForwarded_ = true;
};

//! Why a target rejected a statement without running any of it.
enum class Refusal
{
  None,     //!< the statement may have run
  Busy,     //!< no slot or connection is free
  ReadOnly, //!< not the primary, or the transaction is read-only
  Behind,   //!< the log has not reached SendStatement::floor_
};

//! The target's ReadyForQuery after a statement, including one whose response
//! is discarded.
struct StatementFinished
{
  ConnectionId connection_ = 0;
  //! Empty when the statement succeeded; else the target's SQLSTATE.
  std::string sqlstate_;
  std::string message_;
  //! Status byte of ReadyForQuery: 'I' idle, 'T' in a transaction, 'E' in a
  //! failed transaction.
  char transactionStatus_ = 'I';
  //! Rows of this statement were forwarded to the caller.
  bool rowsForwarded_ = false;
  //! Result of the query requested by checkHasWritten_; empty when the target
  //! cannot determine it.
  std::optional<bool> wrote_ = std::nullopt;
  //! The target stored the request key in an earlier run of the same request
  //! and ran nothing this time. The response is held back until Finish.
  bool alreadyDone_ = false;
  //! End of the target's log as reads see it; empty when the target does not
  //! report it.
  std::optional<LogPosition> position_ = std::nullopt;
  Refusal refusal_ = Refusal::None;
};

//! The status probe sent along with a read was answered. Rows are held back
//! until AcceptAnswer or DropAnswer.
struct ReadProbeAnswered
{
  ConnectionId connection_ = 0;
  wire::TargetReport report_;
};

//! The result of ReadCommitPosition. A failure is reported as ConnectionClosed.
struct CommitPositionRead
{
  ConnectionId connection_ = 0;
  //! The target's current term, and the synced end of its log.
  LogPosition position_;
  //! Incarnation of the target's data, as in its status. If it differs from the
  //! one in the group's state, the outcome of the commit is unknown.
  std::optional<std::uint64_t> incarnation_;
};

//! The result of SendProbe: a report, or empty when the target refused the
//! connection or closed it.
struct ProbeAnswered
{
  TargetName target_;
  std::uint64_t sequence_ = 0;
  std::optional<wire::TargetReport> report_;
  //! The target's session behind the probe connection.
  BackendId backend_ = 0;
};

//! The caller requested cancellation of its statement.
struct CancelRequested
{
  SessionId session_ = 0;
};

//! The caller has disconnected. No Finish follows for its session.
struct SessionClosed
{
  SessionId session_ = 0;
};

//! The time returned by NextWake has been reached.
struct Tick
{};

using TrafficEvent = std::variant<GroupChanged,
                                  GrantChanged,
                                  StopNewWrites,
                                  RequestArrived,
                                  ConnectionOpened,
                                  ConnectionFailed,
                                  ConnectionClosed,
                                  StatementFinished,
                                  ReadProbeAnswered,
                                  CommitPositionRead,
                                  ProbeAnswered,
                                  CancelRequested,
                                  SessionClosed,
                                  Tick>;

} // namespace wigeonlb::core::traffic
