#include "caller/startup.h"

#include <optional>

#include "caller/callererrors.h"
#include "caller/internal/payloadreader.h"

namespace wigeonlb::caller {

namespace {

constexpr std::uint32_t kProtocolMajor = 3;
constexpr std::uint32_t kCancelCode = (1234U << 16U) | 5678U;
constexpr std::uint32_t kSslCode = (1234U << 16U) | 5679U;
constexpr std::uint32_t kGssEncryptionCode = (1234U << 16U) | 5680U;

using internal::PayloadReader;

std::error_code
AddParameter(std::string_view aName,
             std::string_view aValue,
             StartupRequest& aRequest)
{
  if (aName == "user") {
    aRequest.user_ = aValue;
  } else if (aName == "database") {
    aRequest.database_ = aValue;
  } else if (aName == "options") {
    return ParseOptions(aValue, aRequest.settings_);
  } else if (aName.starts_with("_pq_.")) {
    aRequest.protocolOptions_.emplace_back(aName);
  } else {
    aRequest.parameters_.push_back({ std::string(aName), std::string(aValue) });
  }
  return {};
}

std::error_code
ParseParameters(PayloadReader aReader, StartupRequest& aRequest)
{
  std::string_view name;
  std::string_view value;
  while (true) {
    if (!aReader.ReadString(name)) {
      return CallerError::BadStartupPacket;
    }
    if (name.empty()) {
      break;
    }
    if (!aReader.ReadString(value)) {
      return CallerError::BadStartupPacket;
    }
    if (const auto error = AddParameter(name, value, aRequest)) {
      return error;
    }
  }
  if (!aReader.rest_.empty() || aRequest.user_.empty()) {
    return CallerError::BadStartupPacket;
  }
  if (aRequest.database_.empty()) {
    aRequest.database_ = aRequest.user_;
  }
  return {};
}

std::error_code
ParseCancelRequest(PayloadReader aReader, StartupPacket& aPacket)
{
  aPacket.kind_ = StartupKind::CancelRequest;
  const bool complete = aReader.ReadInt32(aPacket.cancelKey_.processId_) &&
                        aReader.ReadInt32(aPacket.cancelKey_.secret_) &&
                        aReader.rest_.empty();
  return complete ? std::error_code() : CallerError::BadStartupPacket;
}

// Removes the next word from the front of aText and returns it; nullopt if only
// white space is left.
std::optional<std::string>
ExtractWord(std::string_view& aText)
{
  constexpr std::string_view kSpaces = " \t\n\r\f\v";
  const std::size_t start = aText.find_first_not_of(kSpaces);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  aText.remove_prefix(start);
  std::string word;
  while (!aText.empty() && kSpaces.find(aText.front()) == kSpaces.npos) {
    if (aText.front() == '\\' && aText.size() > 1) {
      aText.remove_prefix(1);
    }
    word.push_back(aText.front());
    aText.remove_prefix(1);
  }
  return word;
}

} // namespace

std::error_code
ParseStartupPacket(std::string_view aPayload, StartupPacket& aPacket)
{
  aPacket = {};
  PayloadReader reader{ aPayload };
  std::uint32_t code = 0;
  if (!reader.ReadInt32(code)) {
    return CallerError::BadStartupPacket;
  }
  if (code == kCancelCode) {
    return ParseCancelRequest(reader, aPacket);
  }
  if (code == kSslCode || code == kGssEncryptionCode) {
    aPacket.kind_ = code == kSslCode ? StartupKind::SslRequest
                                     : StartupKind::GssEncryptionRequest;
    return reader.rest_.empty() ? std::error_code()
                                : CallerError::BadStartupPacket;
  }
  if (code >> 16U != kProtocolMajor) {
    return CallerError::UnsupportedProtocol;
  }
  aPacket.request_.protocolMinor_ = static_cast<std::uint16_t>(code);
  return ParseParameters(reader, aPacket.request_);
}

std::error_code
ParseOptions(std::string_view aOptions, std::vector<Parameter>& aSettings)
{
  while (auto word = ExtractWord(aOptions)) {
    std::string setting;
    if (*word == "-c") {
      setting = ExtractWord(aOptions).value_or("");
    } else if (word->starts_with("-c") || word->starts_with("--")) {
      setting = word->substr(2);
    } else {
      return CallerError::BadOptions;
    }
    const std::size_t equals = setting.find('=');
    if (equals == 0 || equals == std::string::npos) {
      return CallerError::BadOptions;
    }
    aSettings.push_back(
      { setting.substr(0, equals), setting.substr(equals + 1) });
  }
  return {};
}

} // namespace wigeonlb::caller
