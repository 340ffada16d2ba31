#include "caller/callererrors.h"
#include "caller/protocol.h"
#include "caller/sqlstates.h"

namespace wigeonlb::caller {

namespace {

bool
IsExtendedQuery(char aType)
{
  return std::string_view("PBDEC").find(aType) != std::string_view::npos;
}

//! Whether the message is dropped: Flush needs no action here, and the protocol
//! requires that copy data after a refused COPY is discarded.
bool
IsIgnored(char aType)
{
  return std::string_view("Hdcf").find(aType) != std::string_view::npos;
}

//! Decodes simple queries. The first message of the extended query protocol is
//! answered with an error; further messages up to the next Sync are ignored.
class PgDecoder : public Decoder
{
public:
  explicit PgDecoder(std::size_t aMaxMessageBytes)
    : reader_(aMaxMessageBytes)
  {
  }

  void Feed(std::string_view aBytes) override { reader_.Feed(aBytes); }

  std::size_t PendingBytes() const override { return reader_.PendingBytes(); }

  std::error_code ReadNext(TransactionStatus aStatus,
                           std::optional<CallerInput>& aInput) override
  {
    std::error_code error;
    bool frameAvailable = true;
    while (frameAvailable && !error && !aInput) {
      error = started_ ? ReadMessage(aStatus, aInput, frameAvailable)
                       : ReadStartupPacket(aInput, frameAvailable);
    }
    return error;
  }

private:
  std::error_code ReadStartupPacket(std::optional<CallerInput>& aInput,
                                    bool& aFrameAvailable)
  {
    std::optional<Frame> frame;
    if (const auto error = reader_.ReadStartup(frame)) {
      return error;
    }
    aFrameAvailable = frame.has_value();
    if (!aFrameAvailable) {
      return {};
    }
    StartupPacket packet;
    if (const auto error = ParseStartupPacket(frame->payload_, packet)) {
      return error;
    }
    switch (packet.kind_) {
      case StartupKind::SslRequest:
      case StartupKind::GssEncryptionRequest:
        aInput = DirectReply{ "N" };
        break;
      case StartupKind::CancelRequest:
        aInput = CancelInput{ packet.cancelKey_ };
        break;
      case StartupKind::Startup:
        aInput = MakeStartupInput(std::move(packet.request_));
        break;
    }
    return {};
  }

  StartupInput MakeStartupInput(StartupRequest aRequest)
  {
    started_ = true;
    StartupInput input;
    if (aRequest.protocolMinor_ > 0 || !aRequest.protocolOptions_.empty()) {
      AppendNegotiateProtocolVersion(input.negotiation_,
                                     aRequest.protocolOptions_);
    }
    input.request_ = std::move(aRequest);
    return input;
  }

  std::error_code ReadMessage(TransactionStatus aStatus,
                              std::optional<CallerInput>& aInput,
                              bool& aFrameAvailable)
  {
    std::optional<Frame> frame;
    if (const auto error = reader_.ReadNext(frame)) {
      return error;
    }
    aFrameAvailable = frame.has_value();
    if (!aFrameAvailable || IsIgnored(frame->type_)) {
      return {};
    }
    if (frame->type_ == 'X') {
      aInput = TerminateInput{};
    } else if (frame->type_ == 'S') {
      skipToSync_ = false;
      aInput = DirectReply{ EncodeReady(aStatus) };
    } else if (frame->type_ == 'F' || IsExtendedQuery(frame->type_)) {
      Refuse(frame->type_ == 'F', aStatus, aInput);
    } else if (frame->type_ != 'Q') {
      return CallerError::UnexpectedMessage;
    } else if (!skipToSync_) {
      return ReadQuery(frame->payload_, aInput);
    }
    return {};
  }

  static std::error_code ReadQuery(std::string_view aPayload,
                                   std::optional<CallerInput>& aInput)
  {
    std::string_view sql;
    if (const auto error = ParseQuery(aPayload, sql)) {
      return error;
    }
    aInput = QueryInput{ {}, sql };
    return {};
  }

  // NOTE The transaction status does not change, since the refused message was
  // not sent to the target.
  void Refuse(bool aFunctionCall,
              TransactionStatus aStatus,
              std::optional<CallerInput>& aInput)
  {
    if (skipToSync_) {
      return;
    }
    std::string frames;
    AppendErrorResponse(
      frames,
      { .severity_ = "ERROR",
        .sqlstate_ = std::string(sqlstates::kFeatureNotSupported),
        .message_ = aFunctionCall
                      ? "the function call message is not supported"
                      : "the extended query protocol is not supported",
        .hint_ = "Use the simple query protocol." });
    if (aFunctionCall) {
      AppendReadyForQuery(frames, aStatus);
    }
    skipToSync_ = !aFunctionCall;
    aInput = DirectReply{ std::move(frames) };
  }

  static std::string EncodeReady(TransactionStatus aStatus)
  {
    std::string frames;
    AppendReadyForQuery(frames, aStatus);
    return frames;
  }

  FrameReader reader_;
  bool started_ = false;
  bool skipToSync_ = false;
};

std::unique_ptr<Decoder>
MakeDecoder(std::size_t aMaxMessageBytes)
{
  return std::make_unique<PgDecoder>(aMaxMessageBytes);
}

void
AppendAccepted(std::string& aFrames,
               std::span<const Parameter> aParameters,
               const CancelKey& aKey)
{
  AppendAuthenticationOk(aFrames);
  for (const Parameter& parameter : aParameters) {
    AppendParameterStatus(aFrames, parameter.name_, parameter.value_);
  }
  AppendBackendKeyData(aFrames, aKey);
}

constexpr Protocol kPostgresql = {
  MakeDecoder,           AppendAccepted,        AppendReadyForQuery,
  AppendErrorResponse,   AppendErrorResponse,   nullptr,
  AppendParameterStatus, AppendRowDescription,  AppendDataRow,
  AppendCommandComplete, AppendCommandComplete, AppendEmptyQueryResponse,
};

} // namespace

const Protocol&
PostgresqlProtocol()
{
  return kPostgresql;
}

} // namespace wigeonlb::caller
