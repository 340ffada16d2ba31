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

namespace wigeonlb::core::traffic {

using foundation::Duration;
using foundation::Instant;
using foundation::LogPosition;
using foundation::TargetName;

//! Names a connection to a target; given out by the core, never used twice.
using ConnectionId = std::uint64_t;

//! A caller's session, unique at this owner: the driver maps (entry host, boot,
//! its session number) to it.
using SessionId = std::uint64_t;

//! The target's own id of the session behind a connection; 0 for none.
using BackendId = std::int32_t;

//! One statement of a session. A session has at most one at a time.
struct RequestId
{
  SessionId session_ = 0;
  std::uint64_t request_ = 0;

  auto operator<=>(const RequestId&) const = default;
};

//! The right to place writes, with the lease's end on this host's clock.
struct HeldGrant
{
  std::uint64_t term_ = 0;
  TargetName primary_;
  //! Connections that may be open or opening to each target of the group.
  std::uint32_t share_ = 0;
  Instant expires_;
  //! Hosts whose grant of the group has ended and that the control leader has
  //! not heard since, by the names under which they connect to targets: they
  //! may be frozen and keep locks there.
  std::vector<std::string> endedHolders_ = {};
};

//! The group's replicated state, or what is announced of it, has changed.
struct GroupChanged
{
  wire::GroupState group_;
  //! Targets that are announced and not leaving.
  std::vector<TargetName> usable_;
  //! Live owners of the group, this one included; the slots are cut by it.
  std::uint32_t owners_ = 1;
  //! No control leader was heard since the host started: reads go on with the
  //! connections of an owner without a grant.
  bool noLeaderSinceStart_ = false;
};

//! The grant was given, renewed or (empty) lost. A renewal of the same term
//! only moves share and end.
struct GrantChanged
{
  std::optional<HeldGrant> grant_;
};

//! The leader revokes a term: nothing new is handed over under it. Commits in
//! flight may still be acknowledged until the drain ends; then the rest is
//! given up and Released follows.
struct StopNewWrites
{
  std::uint64_t term_ = 0;
  //! Off: the grant is only not renewed, and the term may be given again.
  bool revoked_ = true;
  //! Time for what is in flight; Settings::revokeDrain_ when empty. A planned
  //! change of primary gives more.
  std::optional<Duration> drain_;
};

//! A statement to be run. Each gets exactly one Finish.
struct RequestArrived
{
  RequestId id_;
  foundation::Tenant tenant_;
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  //! Length of the statement's text, which the driver keeps until Finish.
  std::uint64_t statementBytes_ = 0;
  LogPosition floor_;
  //! The session came without a token: a primary position read after the
  //! arrival becomes its floor.
  bool needsFreshFloor_ = false;
  std::optional<Duration> maxAge_;
  Instant deadline_;
  //! Until when an answer is worth most to the caller, if that is before the
  //! deadline.
  std::optional<Instant> latencyObjectiveAt_;
  bool repeatable_ = false;
  foundation::DataCentre dataCentre_;
  //! A write or BEGIN with a request key: its target runs it at most once.
  bool keyed_ = false;
  //! A statement of the session's open transaction. Without one here, it was
  //! lost, or the statement was held up on its way: it must not run alone.
  bool inTransaction_ = false;
};

//! An OpenConnection succeeded; the connection is idle.
struct ConnectionOpened
{
  ConnectionId connection_ = 0;
  BackendId backend_ = 0;
};

//! An OpenConnection failed; its id is void.
struct ConnectionFailed
{
  ConnectionId connection_ = 0;
};

//! The target or the network closed a connection that was open.
struct ConnectionClosed
{
  ConnectionId connection_ = 0;
  //! Rows of its statement went on to the caller. While it isn't known, a
  //! repeatable statement is not handed over again.
  bool rowsForwarded_ = true;
};

//! Why a target ran nothing of a statement.
enum class Refusal
{
  None,     //!< it may have run
  Busy,     //!< no slot or connection is free
  ReadOnly, //!< it doesn't lead, or the transaction only reads
  Behind,   //!< its log lacks the floor that was sent along
};

//! The target's ReadyForQuery after a statement, also of one that was dropped.
struct StatementFinished
{
  ConnectionId connection_ = 0;
  //! Empty when the statement succeeded; else the target's SQLSTATE.
  std::string sqlstate_;
  std::string message_;
  //! 'I', 'T' or 'E'.
  char transactionStatus_ = 'I';
  //! Rows of this statement went on to the caller.
  bool rowsForwarded_ = false;
  //! The answer to checkHasWritten_; empty when the target can't tell.
  std::optional<bool> wrote_ = std::nullopt;
  //! The target holds the request key of an earlier run of the same request,
  //! and ran nothing now. The answer is held for Finish.
  bool alreadyDone_ = false;
  //! Where the target's log ends for reads, from targets that tell.
  std::optional<LogPosition> position_ = std::nullopt;
  Refusal refusal_ = Refusal::None;
};

//! The probe that travels with a read was answered; rows are held back until
//! AcceptAnswer or DropAnswer.
struct ReadProbeAnswered
{
  ConnectionId connection_ = 0;
  wire::TargetReport report_;
};

//! The answer to ReadCommitPosition. A failure comes as ConnectionClosed.
struct CommitPositionRead
{
  ConnectionId connection_ = 0;
  //! Term that the target is in, and the synced end of its log.
  LogPosition position_;
  //! Of the target's data, as in its status; another than the group knows makes
  //! the commit's outcome unknown.
  std::optional<std::uint64_t> incarnation_;
};

//! The answer to SendProbe: a report, or empty when refused or broken.
struct ProbeAnswered
{
  TargetName target_;
  std::uint64_t sequence_ = 0;
  std::optional<wire::TargetReport> report_;
  //! Of the probe connection.
  BackendId backend_ = 0;
};

//! The caller wants its statement cancelled.
struct CancelRequested
{
  SessionId session_ = 0;
};

//! The caller is gone: no Finish is sent for its session any more.
struct SessionClosed
{
  SessionId session_ = 0;
};

//! Time has passed; see NextWake.
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
