#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

//! Frames of PostgreSQL protocol 3.0 that a server sends. Every encoder appends
//! one whole frame to its first argument.
namespace wigeonlb::caller {

//! Object identifiers of the column types that the proxy names itself.
inline constexpr std::uint32_t kBoolTypeOid = 16;
inline constexpr std::uint32_t kInt8TypeOid = 20;
inline constexpr std::uint32_t kTextTypeOid = 25;
inline constexpr std::uint32_t kFloat8TypeOid = 701;

//! State of the session's transaction, as ReadyForQuery carries it.
enum class TransactionStatus : char
{
  Idle = 'I',
  InTransaction = 'T',
  Failed = 'E',
};

//! A name with its value: ParameterStatus, startup parameters, settings.
struct Parameter
{
  std::string name_;
  std::string value_;

  bool operator==(const Parameter&) const = default;
};

//! Names the running session of a process to a CancelRequest.
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
  std::int16_t typeSize_ = -1; //!< bytes; negative: variable
  std::int32_t typeModifier_ = -1;
  std::int16_t format_ = 0; //!< 0 text, 1 binary
  std::uint32_t tableOid_ = 0;
  std::int16_t columnNumber_ = 0;
};

//! Fields of an ErrorResponse or NoticeResponse. Empty ones are left out.
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

//! Tells a caller that asked for 3.1 or later that 3.0 is spoken.
void
AppendNegotiateProtocolVersion(std::string& aFrames,
                               std::span<const std::string> aUnknownOptions);

void
AppendReadyForQuery(std::string& aFrames, TransactionStatus aStatus);

void
AppendRowDescription(std::string& aFrames,
                     std::span<const ColumnDescription> aColumns);

//! A value without content is NULL.
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

//! A message that was read; the view is valid until the next call of the
//! reader that it came from.
struct Frame
{
  char type_ = 0; //!< 0: a startup packet
  std::string_view payload_;
};

//! Cuts a stream of bytes into messages.
class FrameReader
{
public:
  //! A message whose length field is over aMaxMessageBytes is an error.
  explicit FrameReader(std::size_t aMaxMessageBytes);

  void Feed(std::string_view aBytes);

  //! Takes the next untyped packet, as at the start of a connection. Leaves
  //! aFrame empty when more bytes are needed. After an error the reader gives
  //! the same error again.
  std::error_code ReadStartup(std::optional<Frame>& aFrame);

  //! Takes the next typed message, likewise.
  std::error_code ReadNext(std::optional<Frame>& aFrame);

  //! Bytes held that were not taken yet.
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

//! Reads the text of a Query message. BadQuery when it lacks its terminator or
//! has bytes behind it.
std::error_code
ParseQuery(std::string_view aPayload, std::string_view& aText);

} // namespace wigeonlb::caller
