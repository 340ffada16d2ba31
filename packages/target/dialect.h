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

//! The few statements by which one kind of target tells its status and takes
//! orders. Another kind of database needs one more row of the table.
struct Dialect
{
  std::string_view name_;

  //! Answers with one row; columns in the order of StatusColumn.
  std::string_view statusStatement_;

  //! Orders the target to lead a term; `{term}` is replaced. The order is
  //! idempotent.
  std::string_view promoteStatement_;

  //! Asks in an open transaction whether it has written: one row, one column,
  //! `t` or `f`. Empty where the target can't tell.
  std::string_view hasWrittenStatement_;

  //! Makes the target stop following or leading below a term; empty where the
  //! target has no such thing.
  std::string_view fenceStatement_;

  //! Ends the session with the backend id `{pid}` if it has the application
  //! name `{name}`. Empty where sessions can't be ended by others.
  std::string_view endSessionStatement_;

  //! Ends the sessions of the application name `{name}` whose open transaction
  //! began `{age_ms}` milliseconds ago or earlier. Empty with the one before.
  std::string_view endTransactionsStatement_;

  //! Expression for whole seconds since 1970 by the target's clock.
  std::string_view epochSecondsExpression_;

  //! Makes the transaction of the same message refuse writes. Empty where reads
  //! are told by their text.
  std::string_view readOnlyStatement_;

  //! Goes in front of a read or BEGIN that the target is to refuse unless its
  //! log has `{term}` and `{offset}`. Empty where targets don't check.
  std::string_view floorPrefix_ = {};

  //! What a statement that gives the connection a value begins with; the name
  //! and the value follow. Empty where callers can't set values.
  std::string_view setPrefix_ = {};

  //! Makes the connection forget values and prepared statements.
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
  //! `t` or `f`: its log has left that of its term. Only from targets that can
  //! tell.
  Diverged = StatusColumnCount
};

//! Finds a row of the dialect table; the empty name means `postgresql`.
//! Returns nullptr for a name that is not in the table.
const Dialect*
FindDialect(std::string_view aName);

//! Every row of the table.
std::span<const Dialect>
GetDialects();

//! Fills the status part of a report from a status row. Columns behind Diverged
//! are ignored. Errors: BadStatus.
std::error_code
ReadStatus(std::span<const Field> aRow, wire::TargetReport& aReport);

//! The prefix that asks for a position; empty where targets don't check, or
//! without a position.
std::string
MakeFloorPrefix(const Dialect& aDialect, const foundation::LogPosition& aFloor);

//! The statement that gives a connection a value.
std::string
MakeSetStatement(const Dialect& aDialect,
                 std::string_view aName,
                 std::string_view aValue);

//! A statement of the dialect with `{term}` replaced.
std::string
SubstituteTerm(std::string_view aStatement, std::uint64_t aTerm);

//! The `application_name` of all connections that one boot of a host opens.
//! NOTE PostgreSQL cuts names longer than 63 bytes off, so the host's id is
//! replaced by its hash in one that would be.
std::string
MakeApplicationName(std::string_view aHost, std::uint64_t aBoot);

//! The statement that ends the session with the target's id aBackend; empty
//! where the dialect has none. The target checks the name: the id may be
//! another session's by then.
std::string
MakeEndSessionStatement(const Dialect& aDialect,
                        std::int32_t aBackend,
                        std::string_view aApplicationName);

//! The statement that ends the sessions of the name whose open transaction is
//! at least aAge old; empty where the dialect has none.
std::string
MakeEndTransactionsStatement(const Dialect& aDialect,
                             std::string_view aApplicationName,
                             foundation::Duration aAge);

} // namespace wigeonlb::target
