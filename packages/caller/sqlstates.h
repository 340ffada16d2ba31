#pragma once

#include <string_view>

//! SQLSTATE codes that the proxy itself sends, and what each one promises.
namespace wigeonlb::caller::sqlstates {

//! The feature is not offered. The statement was not run.
inline constexpr std::string_view kFeatureNotSupported = "0A000";

//! The caller broke the protocol. The connection is closed.
inline constexpr std::string_view kProtocolViolation = "08P01";

//! The statement was handed to a target and its outcome is unknown: it may
//! have run once, and it was not sent twice.
inline constexpr std::string_view kOutcomeUnknown = "08007";

//! A parameter has a value that can't be used. Nothing was run.
inline constexpr std::string_view kInvalidParameterValue = "22023";

//! The statement is not allowed in the transaction's state. It was not run.
inline constexpr std::string_view kActiveTransaction = "25001";

//! The target is read only. The statement was not run.
inline constexpr std::string_view kReadOnlyTransaction = "25006";

//! An earlier statement of the transaction failed. Nothing is run until
//! ROLLBACK.
inline constexpr std::string_view kFailedTransaction = "25P02";

//! There is no prepared statement of that name. Nothing was run.
inline constexpr std::string_view kUnknownStatement = "26000";

//! The caller's `database` names no group. Nothing was run.
inline constexpr std::string_view kUnknownGroup = "3D000";

//! The transaction was rolled back as a whole and may be run again.
inline constexpr std::string_view kSerializationFailure = "40001";

//! The transaction was rolled back as a whole; whether the statement that was
//! being run completed is not known, but nothing of it was committed.
inline constexpr std::string_view kTransactionLost = "40003";

//! The statement does not parse. It was not run.
inline constexpr std::string_view kSyntaxError = "42601";

//! A limit on connections is reached. Nothing was run.
inline constexpr std::string_view kTooManyConnections = "53300";

//! The statement or answer is larger than a set limit.
inline constexpr std::string_view kLimitExceeded = "54000";

//! The statement was cancelled at the caller's request.
inline constexpr std::string_view kQueryCancelled = "57014";

//! The process is being shut down and closes the session between two
//! requests; no request was cut.
inline constexpr std::string_view kAdminShutdown = "57P01";

//! The statement was not run: nothing was handed to a target. The message or
//! detail says when to come back.
inline constexpr std::string_view kNotRun = "57P03";

//! A failure inside the proxy.
inline constexpr std::string_view kInternalError = "XX000";

} // namespace wigeonlb::caller::sqlstates
