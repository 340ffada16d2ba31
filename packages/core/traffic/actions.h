#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/traffic/events.h"

namespace wigeonlb::core::traffic {

//! SQLSTATE of a notice, or of the error that a BEGIN gets: the request key
//! belongs to a request that was done before.
inline constexpr std::string_view kAlreadyDone = "WL001";

//! Open a connection to a target. Answered by ConnectionOpened or
//! ConnectionFailed, also when a CloseConnection comes in between (no answer
//! is due then, and one that comes is ignored).
struct OpenConnection
{
  ConnectionId connection_ = 0;
  TargetName target_;
  std::string address_;
};

//! Close at once, whatever is in flight; no event is due for the id after it.
struct CloseConnection
{
  ConnectionId connection_ = 0;
};

//! Hand a statement over. With a probe, the target's status is asked first in
//! the same message, ReadProbeAnswered is fed, and rows are held back until
//! AcceptAnswer. Without one, rows go on at once.
//! NOTE The end of the answer (CommandComplete, ReadyForQuery) is always held
//! back until Finish, which says whether it may be passed on.
struct SendStatement
{
  ConnectionId connection_ = 0;
  RequestId request_;
  bool withProbe_ = false;
  //! The statement was classified as a read, for any target or the primary: it
  //! must run in a read-only transaction, also at the primary (`SET TRANSACTION
  //! READ ONLY` first in the same message), so that a lock, or a write hidden
  //! in a view or an operator, is refused and comes back as a
  //! write.
  bool readOnly_ = false;
  //! Ask first, in the same message, whether the open transaction has written;
  //! StatementFinished tells.
  bool checkHasWritten_ = false;
  //! The target refuses the statement as behind unless its log has this. Term 0
  //! when nothing is asked for, or the target doesn't check.
  LogPosition floor_ = {};
};

//! Pass the rows on.
struct AcceptAnswer
{
  ConnectionId connection_ = 0;
  RequestId request_;
};

//! Discard the answer; the driver reads to its end and feeds
//! StatementFinished, unless CloseConnection comes first.
struct DropAnswer
{
  ConnectionId connection_ = 0;
  RequestId request_;
};

//! Ask the target on this connection for its term and synced position.
struct ReadCommitPosition
{
  ConnectionId connection_ = 0;
};

//! Sessions that the target is to end.
struct SessionTerminations
{
  //! This owner's own, whose connections it has let go.
  std::vector<BackendId> backends_;
  //! Hosts by the names under which they connect: their sessions whose open
  //! transaction is at least age_ old.
  std::vector<std::string> names_;
  Duration age_{ 0 };
};

//! Ask the target's status over the owner's one probe connection for it, which
//! the driver opens when needed. Answered by ProbeAnswered with the sequence.
//! The ends go after the status statement in the same message; what becomes of
//! them doesn't change the answer.
struct SendProbe
{
  TargetName target_;
  std::string address_;
  std::uint64_t sequence_ = 0;
  SessionTerminations ends_;
};

//! Drop the probe connection: it is silent. The next SendProbe opens another.
struct ResetProbe
{
  TargetName target_;
};

//! The one outcome of a request.
//! DONE and FAILED: pass on the held end of the target's answer (FAILED with
//! handed-over target errors carries the target's SQLSTATE).
//! NOT_RUN and UNKNOWN: answer with an error built from this.
struct Finish
{
  RequestId request_;
  wire::Outcome outcome_ = wire::OUTCOME_DONE;
  std::string sqlstate_;
  std::string message_;
  //! Zero when there is no advice.
  Duration retryAfter_{ 0 };
  //! The session's floor rises to it; term 0 when it stays.
  LogPosition position_;
  char transactionStatus_ = 'I';
  TargetName servedBy_;
  bool byReplica_ = false;
  //! The target's own answer is held by the driver and is passed on. False for
  //! errors that this host makes up, and for a DONE that no target answered: a
  //! ROLLBACK, or a COMMIT outside a transaction or after one that its caller
  //! knows to have failed. The latter has the command tag ROLLBACK.
  bool passTargetAnswer_ = false;
  //! NOT_RUN for want of a grant; another owner may have one.
  bool tryAnotherOwner_ = false;
};

//! Send the target a cancel request for what runs on the connection.
struct CancelOnTarget
{
  ConnectionId connection_ = 0;
};

//! Nothing is in flight under the revoked or lost term any more.
struct TermReleased
{
  std::uint64_t term_ = 0;
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
                                   CancelOnTarget,
                                   TermReleased>;

} // namespace wigeonlb::core::traffic
