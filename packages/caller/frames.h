#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

//! Encoders for the messages that a server sends in PostgreSQL protocol 3.0,
//! and a reader that splits a byte stream into messages. Every encoder appends
//! one complete message to its first argument.
namespace wigeonlb::caller {

//! Object identifiers of the types of columns that the proxy itself generates.
inline constexpr std::uint32_t kBoolTypeOid = 16;
inline constexpr std::uint32_t kInt8TypeOid = 20;
inline constexpr std::uint32_t kTextTypeOid = 25;
inline constexpr std::uint32_t kFloat8TypeOid = 701;

//! State of the session's transaction, as sent in ReadyForQuery.
enum class TransactionStatus : char
{
  Idle = 'I',
  InTransaction = 'T',
  Failed = 'E',
};

//! Name and value of a ParameterStatus, startup parameter or setting.
struct Parameter
{
  std::string name_;
  std::string value_;

  bool operator==(const Parameter&) const = default;
};

//! Identifies the session whose query a CancelRequest cancels.
struct CancelKey
{
  std::uint32_t processId_ = 0;
  std::uint32_t secret_ = 0;

  bool operator==(const CancelKey&) const = default;
};

//! One column of a RowDescription.
struct ColumnDescription
{
  std::string_view name_;
  std::uint32_t typeOid_ = kTextTypeOid;
  std::int16_t typeSize_ = -1; //!< in bytes; negative for variable size
  std::int32_t typeModifier_ = -1;
  std::int16_t format_ = 0; //!< 0: text, 1: binary
  std::uint32_t tableOid_ = 0;
  std::int16_t columnNumber_ = 0;
};

//! Fields of an ErrorResponse or NoticeResponse. Empty fields are omitted.
struct ErrorFields
{
  std::string severity_; //!< ERROR, FATAL, WARNING, NOTICE, ...
  std::string sqlstate_; //!< see sqlstates.h
  std::string message_;
  std::string detail_;
  std::string hint_;
};

void
AppendAuthenticationOk(std::string& aFrames);

void
AppendParameterStatus(std::string& aFrames,
                      std::string_view aName,
                      std::string_view aValue);

void
AppendBackendKeyData(std::string& aFrames, const CancelKey& aKey);

//! Announces version 3.0 to a caller that requested 3.1 or later or unknown
//! protocol options.
void
AppendNegotiateProtocolVersion(std::string& aFrames,
                               std::span<const std::string> aUnknownOptions);

void
AppendReadyForQuery(std::string& aFrames, TransactionStatus aStatus);

void
AppendRowDescription(std::string& aFrames,
                     std::span<const ColumnDescription> aColumns);

//! An empty optional is sent as NULL.
void
AppendDataRow(std::string& aFrames,
              std::span<const std::optional<std::string_view>> aValues);

void
AppendCommandComplete(std::string& aFrames, std::string_view aTag);

void
AppendEmptyQueryResponse(std::string& aFrames);

void
AppendErrorResponse(std::string& aFrames, const ErrorFields& aError);

void
AppendNoticeResponse(std::string& aFrames, const ErrorFields& aNotice);

//! A received message. The view is valid until the next call of a method of the
//! FrameReader that returned it.
struct Frame
{
  char type_ = 0; //!< 0 for a startup packet
  std::string_view payload_;
};

//! Splits a byte stream into messages.
class FrameReader
{
public:
  //! A message whose length field exceeds aMaxMessageBytes is an error.
  explicit FrameReader(std::size_t aMaxMessageBytes);

  void Feed(std::string_view aBytes);

  //! Reads the next packet without a type byte, as sent at the start of a
  //! connection. Leaves aFrame empty when more bytes are needed. After an
  //! error, every later call returns the same error.
  std::error_code ReadStartup(std::optional<Frame>& aFrame);

  //! Reads the next message that has a type byte; otherwise like ReadStartup.
  std::error_code ReadNext(std::optional<Frame>& aFrame);

  //! The number of buffered bytes that have not been read as messages.
  std::size_t PendingBytes() const { return buffer_.size() - position_; }

private:
  std::error_code ReadBody(std::size_t aHeaderBytes,
                           std::size_t aMaxMessageBytes,
                           std::optional<Frame>& aFrame);

  std::size_t maxMessageBytes_;
  std::string buffer_;
  std::size_t position_ = 0;
  std::error_code error_;
};

//! Reads the text of a Query message. Fails with BadQuery when the terminating
//! zero byte is missing or is followed by more bytes.
std::error_code
ParseQuery(std::string_view aPayload, std::string_view& aText);

} // namespace wigeonlb::caller
