#pragma once

#include <string_view>

//! SQLSTATE codes that the proxy itself sends, and what each one guarantees
//! about the statement.
namespace wigeonlb::caller::sqlstates {

//! The feature is not supported. The statement was not run.
inline constexpr std::string_view kFeatureNotSupported = "0A000";

//! The caller violated the protocol. The connection is closed.
inline constexpr std::string_view kProtocolViolation = "08P01";

//! The statement was sent to a target and its outcome is unknown: it may
//! have run once, but it was not sent a second time.
inline constexpr std::string_view kOutcomeUnknown = "08007";

//! A parameter has an invalid value. Nothing was run.
inline constexpr std::string_view kInvalidParameterValue = "22023";

//! The statement is not allowed in the current transaction state. It was not
//! run.
inline constexpr std::string_view kActiveTransaction = "25001";

//! The target is read-only. The statement was not run.
inline constexpr std::string_view kReadOnlyTransaction = "25006";

//! An earlier statement of the transaction failed. Nothing is run until
//! ROLLBACK.
inline constexpr std::string_view kFailedTransaction = "25P02";

//! The caller could not be identified. Nothing was run.
inline constexpr std::string_view kInvalidAuthorization = "28000";

//! No prepared statement has this name. Nothing was run.
inline constexpr std::string_view kUnknownStatement = "26000";

//! No group has the name that the caller specified as `database`. Nothing was
//! run.
inline constexpr std::string_view kUnknownGroup = "3D000";

//! The whole transaction was rolled back and may be retried.
inline constexpr std::string_view kSerializationFailure = "40001";

//! The whole transaction was rolled back. Whether the statement in progress
//! completed is unknown, but none of its effects were committed.
inline constexpr std::string_view kTransactionLost = "40003";

//! The statement has a syntax error. It was not run.
inline constexpr std::string_view kSyntaxError = "42601";

//! A connection limit was reached. Nothing was run.
inline constexpr std::string_view kTooManyConnections = "53300";

//! The statement or its result exceeds a configured limit.
inline constexpr std::string_view kLimitExceeded = "54000";

//! The statement was cancelled at the caller's request.
inline constexpr std::string_view kQueryCancelled = "57014";

//! The process is shutting down and closed the session between two requests;
//! no request was interrupted.
inline constexpr std::string_view kAdminShutdown = "57P01";

//! The statement was not run: nothing was sent to a target. The message or
//! detail states when to retry.
inline constexpr std::string_view kNotRun = "57P03";

//! An internal error of the proxy.
inline constexpr std::string_view kInternalError = "XX000";

} // namespace wigeonlb::caller::sqlstates
