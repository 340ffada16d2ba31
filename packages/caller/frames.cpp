#include "caller/frames.h"

#include <algorithm>

#include "caller/callererrors.h"
#include "caller/internal/payloadreader.h"

namespace wigeonlb::caller {

namespace {

constexpr std::size_t kLengthBytes = 4;
// PostgreSQL's limit for a startup packet.
constexpr std::size_t kMaxStartupBytes = 10000;
// Larger buffers are freed when all their content has been read.
constexpr std::size_t kMaxRetainedBufferBytes = 65536;
constexpr std::uint32_t kProtocolVersion = 3U << 16U;

void
AppendInt16(std::string& aFrames, std::uint16_t aValue)
{
  aFrames.push_back(static_cast<char>(aValue >> 8U));
  aFrames.push_back(static_cast<char>(aValue));
}

void
AppendInt32(std::string& aFrames, std::uint32_t aValue)
{
  AppendInt16(aFrames, static_cast<std::uint16_t>(aValue >> 16U));
  AppendInt16(aFrames, static_cast<std::uint16_t>(aValue));
}

// Strings in the protocol end at the first zero byte, so aText is truncated
// there.
void
AppendString(std::string& aFrames, std::string_view aText)
{
  aFrames.append(aText.substr(0, aText.find('\0')));
  aFrames.push_back('\0');
}

// Appends the type byte of a message on construction and fills in the length
// on destruction.
class FrameScope
{
public:
  FrameScope(std::string& aFrames, char aType)
    : frames_(aFrames)
  {
    frames_.push_back(aType);
    start_ = frames_.size();
    frames_.append(kLengthBytes, '\0');
  }
  ~FrameScope()
  {
    std::string length;
    AppendInt32(length, static_cast<std::uint32_t>(frames_.size() - start_));
    frames_.replace(start_, kLengthBytes, length);
  }
  FrameScope(const FrameScope&) = delete;
  FrameScope& operator=(const FrameScope&) = delete;

private:
  std::string& frames_;
  std::size_t start_ = 0;
};

void
AppendField(std::string& aFrames, char aCode, std::string_view aText)
{
  if (!aText.empty()) {
    aFrames.push_back(aCode);
    AppendString(aFrames, aText);
  }
}

void
AppendFields(std::string& aFrames, char aType, const ErrorFields& aFields)
{
  const FrameScope scope(aFrames, aType);
  AppendField(aFrames, 'S', aFields.severity_);
  AppendField(aFrames, 'V', aFields.severity_);
  AppendField(aFrames, 'C', aFields.sqlstate_);
  AppendField(aFrames, 'M', aFields.message_);
  AppendField(aFrames, 'D', aFields.detail_);
  AppendField(aFrames, 'H', aFields.hint_);
  aFrames.push_back('\0');
}

} // namespace

void
AppendAuthenticationOk(std::string& aFrames)
{
  const FrameScope scope(aFrames, 'R');
  AppendInt32(aFrames, 0);
}

void
AppendParameterStatus(std::string& aFrames,
                      std::string_view aName,
                      std::string_view aValue)
{
  const FrameScope scope(aFrames, 'S');
  AppendString(aFrames, aName);
  AppendString(aFrames, aValue);
}

void
AppendBackendKeyData(std::string& aFrames, const CancelKey& aKey)
{
  const FrameScope scope(aFrames, 'K');
  AppendInt32(aFrames, aKey.processId_);
  AppendInt32(aFrames, aKey.secret_);
}

void
AppendNegotiateProtocolVersion(std::string& aFrames,
                               std::span<const std::string> aUnknownOptions)
{
  const FrameScope scope(aFrames, 'v');
  AppendInt32(aFrames, kProtocolVersion);
  AppendInt32(aFrames, static_cast<std::uint32_t>(aUnknownOptions.size()));
  for (const std::string& option : aUnknownOptions) {
    AppendString(aFrames, option);
  }
}

void
AppendReadyForQuery(std::string& aFrames, TransactionStatus aStatus)
{
  const FrameScope scope(aFrames, 'Z');
  aFrames.push_back(static_cast<char>(aStatus));
}

void
AppendRowDescription(std::string& aFrames,
                     std::span<const ColumnDescription> aColumns)
{
  const FrameScope scope(aFrames, 'T');
  AppendInt16(aFrames, static_cast<std::uint16_t>(aColumns.size()));
  for (const ColumnDescription& column : aColumns) {
    AppendString(aFrames, column.name_);
    AppendInt32(aFrames, column.tableOid_);
    AppendInt16(aFrames, static_cast<std::uint16_t>(column.columnNumber_));
    AppendInt32(aFrames, column.typeOid_);
    AppendInt16(aFrames, static_cast<std::uint16_t>(column.typeSize_));
    AppendInt32(aFrames, static_cast<std::uint32_t>(column.typeModifier_));
    AppendInt16(aFrames, static_cast<std::uint16_t>(column.format_));
  }
}

void
AppendDataRow(std::string& aFrames,
              std::span<const std::optional<std::string_view>> aValues)
{
  constexpr std::uint32_t kNull = 0xffffffffU;
  const FrameScope scope(aFrames, 'D');
  AppendInt16(aFrames, static_cast<std::uint16_t>(aValues.size()));
  for (const auto& value : aValues) {
    AppendInt32(aFrames,
                value ? static_cast<std::uint32_t>(value->size()) : kNull);
    aFrames.append(value.value_or(std::string_view()));
  }
}

void
AppendCommandComplete(std::string& aFrames, std::string_view aTag)
{
  const FrameScope scope(aFrames, 'C');
  AppendString(aFrames, aTag);
}

void
AppendEmptyQueryResponse(std::string& aFrames)
{
  const FrameScope scope(aFrames, 'I');
}

void
AppendErrorResponse(std::string& aFrames, const ErrorFields& aError)
{
  AppendFields(aFrames, 'E', aError);
}

void
AppendNoticeResponse(std::string& aFrames, const ErrorFields& aNotice)
{
  AppendFields(aFrames, 'N', aNotice);
}

FrameReader::FrameReader(std::size_t aMaxMessageBytes)
  : maxMessageBytes_(aMaxMessageBytes)
{
}

void
FrameReader::Feed(std::string_view aBytes)
{
  if (position_ == buffer_.size() &&
      buffer_.capacity() > kMaxRetainedBufferBytes) {
    std::string().swap(buffer_);
  } else {
    buffer_.erase(0, position_);
  }
  position_ = 0;
  buffer_.append(aBytes);
}

std::error_code
FrameReader::ReadStartup(std::optional<Frame>& aFrame)
{
  return ReadBody(0, kMaxStartupBytes, aFrame);
}

std::error_code
FrameReader::ReadNext(std::optional<Frame>& aFrame)
{
  return ReadBody(1, maxMessageBytes_, aFrame);
}

std::error_code
FrameReader::ReadBody(std::size_t aHeaderBytes,
                      std::size_t aMaxMessageBytes,
                      std::optional<Frame>& aFrame)
{
  aFrame.reset();
  if (error_) {
    return error_;
  }
  const std::string_view rest = std::string_view(buffer_).substr(position_);
  const std::size_t prefixBytes = aHeaderBytes + kLengthBytes;
  if (rest.size() < prefixBytes) {
    return {};
  }
  std::uint32_t length = 0;
  internal::PayloadReader{ rest.substr(aHeaderBytes) }.ReadInt32(length);
  if (length < kLengthBytes) {
    error_ = CallerError::BadLength;
    return error_;
  }
  if (length > aMaxMessageBytes) {
    error_ = CallerError::MessageTooLong;
    return error_;
  }
  if (rest.size() < aHeaderBytes + length) {
    return {};
  }
  aFrame = Frame{ aHeaderBytes == 0 ? '\0' : rest.front(),
                  rest.substr(prefixBytes, length - kLengthBytes) };
  position_ += aHeaderBytes + length;
  return {};
}

std::error_code
ParseQuery(std::string_view aPayload, std::string_view& aText)
{
  if (aPayload.empty() || aPayload.find('\0') != aPayload.size() - 1) {
    return CallerError::BadQuery;
  }
  aText = aPayload.substr(0, aPayload.size() - 1);
  return {};
}

} // namespace wigeonlb::caller
