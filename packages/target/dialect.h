#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/logposition.h"

namespace wigeonlb::target {

//! One value of a result row; absent for NULL.
using Field = std::optional<std::string_view>;

//! The statements with which one kind of target is queried for its status and
//! controlled. Support for another kind of database is another table row.
struct Dialect
{
  std::string_view name_;

  //! Returns one row with the columns of StatusColumn, in that order.
  std::string_view statusStatement_;

  //! Promotes the target to primary of the term `{term}`. Idempotent.
  std::string_view promoteStatement_;

  //! Returns whether the open transaction has written: one row with one column,
  //! `t` or `f`. Empty if the target can't report this.
  std::string_view hasWrittenStatement_;

  //! Makes the target stop acting as primary or replica of terms below
  //! `{term}`. Empty if the target has no fencing.
  std::string_view fenceStatement_;

  //! Terminates the session with the backend id `{pid}` if its application name
  //! is `{name}`. Empty if a session can't terminate another one.
  std::string_view endSessionStatement_;

  //! Terminates the sessions with the application name `{name}` whose open
  //! transaction began at least `{age_ms}` milliseconds ago. Empty if
  //! endSessionStatement_ is.
  std::string_view endTransactionsStatement_;

  //! Expression for the target's current time in whole seconds since 1970.
  std::string_view epochSecondsExpression_;

  //! Makes the transaction in the same message reject writes. Empty if the
  //! statement text alone shows that a statement is a read.
  std::string_view readOnlyStatement_;

  //! Prefix of a read or BEGIN that carries the floor, the minimum log position
  //! that the session's reads must see: the target refuses the statement unless
  //! its log has reached `{term}` and `{offset}`. Empty if targets don't check.
  std::string_view floorPrefix_ = {};

  //! Start of a statement that sets a session value of the connection; the name
  //! and the value follow. Empty if callers can't set values.
  std::string_view setPrefix_ = {};

  //! Clears the connection's session values and prepared statements.
  std::string_view resetStatement_ = {};
};

//! Columns of a status row, all as text.
enum StatusColumn : std::uint8_t
{
  IsPrimary,     //!< `t` or `f`
  AdoptedTerm,   //!< decimal
  SyncedOffset,  //!< decimal bytes, or PostgreSQL's `X/X`
  AppliedOffset, //!< the same
  Incarnation,   //!< decimal
  StatusColumnCount,
  //! `t` or `f`: whether its log has diverged from the log of its term.
  //! Optional.
  Diverged = StatusColumnCount
};

//! Returns the dialect with this name, or nullptr if the table has none. The
//! empty name selects `postgresql`.
const Dialect*
FindDialect(std::string_view aName);

std::span<const Dialect>
GetDialects();

//! Sets the status fields of a report from a status row. Columns after Diverged
//! are ignored. Errors: BadStatus.
std::error_code
ReadStatus(std::span<const Field> aRow, wire::TargetReport& aReport);

//! Returns the prefix that makes the target check its log against the floor, or
//! an empty string if the dialect has no prefix or the offset is 0.
std::string
MakeFloorPrefix(const Dialect& aDialect, const foundation::LogPosition& aFloor);

//! Returns the statement that sets a session value of a connection.
std::string
MakeSetStatement(const Dialect& aDialect,
                 std::string_view aName,
                 std::string_view aValue);

//! Replaces the placeholder `{term}` in a statement of the dialect.
std::string
SubstituteTerm(std::string_view aStatement, std::uint64_t aTerm);

//! Returns the `application_name` of all connections that a host opens. aBoot
//! identifies one run of the host's process.
//! NOTE PostgreSQL truncates names to 63 bytes, so the host id is replaced by
//! its hash in longer names.
std::string
MakeApplicationName(std::string_view aHost, std::uint64_t aBoot);

//! Returns the statement that terminates the session with the backend id
//! aBackend, or an empty string if the dialect has none. The target compares
//! the application name because it may have reused the id for another session.
std::string
MakeEndSessionStatement(const Dialect& aDialect,
                        std::int32_t aBackend,
                        std::string_view aApplicationName);

//! Returns the statement that terminates the sessions with this application
//! name whose open transaction is at least aAge old, or an empty string if the
//! dialect has none.
std::string
MakeEndTransactionsStatement(const Dialect& aDialect,
                             std::string_view aApplicationName,
                             foundation::Duration aAge);

} // namespace wigeonlb::target
