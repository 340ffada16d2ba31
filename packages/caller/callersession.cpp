#include "caller/callersession.h"

#include <atomic>
#include <chrono>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include "caller/callererrors.h"
#include "caller/internal/socketoptions.h"
#include "caller/sqlstates.h"

namespace wigeonlb::caller {

namespace {

using boost::system::error_code;

// Larger output buffers are freed when they become empty.
constexpr std::size_t kMaxRetainedBufferBytes = 65536;

std::uint64_t
AllocateSessionNumber()
{
  static std::atomic<std::uint64_t> last = 0;
  return ++last;
}

std::string
FormatRemoteAddress(const CallerSession::Socket& aSocket)
{
  error_code error;
  const auto endpoint = aSocket.remote_endpoint(error);
  if (error) {
    return {};
  }
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

CallerSession::CallerSession(boost::asio::io_context& aContext,
                             Socket aSocket,
                             CallerObserver& aObserver,
                             const CallerSessionOptions& aOptions)
  : context_(aContext)
  , socket_(std::move(aSocket))
  , timer_(aContext)
  , observer_(aObserver)
  , options_(aOptions)
  , number_(AllocateSessionNumber())
  , remoteAddress_(FormatRemoteAddress(socket_))
  , decoder_(aOptions.protocol_->makeDecoder_(aOptions.maxMessageBytes_))
{
}

CallerSession::~CallerSession() = default;

void
CallerSession::Start()
{
  internal::SetSocketOptions(socket_, options_);
  StartTimer(options_.startupTimeout_);
  Read();
}

void
CallerSession::AcceptStartup(std::span<const Parameter> aParameters,
                             const CancelKey& aKey)
{
  if (state_ != State::Startup) {
    return;
  }
  state_ = State::Ready;
  std::string frames;
  options_.protocol_->appendAccepted_(frames, aParameters, aKey);
  options_.protocol_->appendReady_(frames, status_);
  Send(std::move(frames));
  AwaitFirstQuery();
  HandleInput();
}

void
CallerSession::Send(std::string aFrames)
{
  if (state_ == State::Closing || state_ == State::Closed) {
    return;
  }
  if (queued_.empty()) {
    queued_ = std::move(aFrames);
  } else {
    queued_ += aFrames;
  }
  ScheduleWrite();
}

void
CallerSession::FinishQuery(TransactionStatus aStatus)
{
  if (state_ != State::Query) {
    return;
  }
  state_ = State::Ready;
  status_ = aStatus;
  std::string frames;
  options_.protocol_->appendReady_(frames, aStatus);
  Send(std::move(frames));
  HandleInput();
}

void
CallerSession::Close()
{
  if (state_ == State::Closed) {
    return;
  }
  state_ = State::Closed;
  error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
  queued_.clear();
  boost::asio::post(context_, [self = Pointer(this)] {
    if (self->observed_) {
      self->observer_.OnClosed(*self);
    }
    if (self->registry_ != nullptr) {
      self->registry_->OnSessionClosed(*self);
    }
  });
}

std::size_t
CallerSession::QueuedBytes() const
{
  return queued_.size() + writing_.size() - written_;
}

void
CallerSession::StartTimer(foundation::Duration aTimeout)
{
  timer_.expires_after(aTimeout);
  timer_.async_wait([self = Pointer(this)](const error_code& aError) {
    if (!aError) {
      self->OnTimeout();
    }
  });
}

void
CallerSession::Read()
{
  // While a request is in progress or output is pending, at most one chunk is
  // read ahead. Keeping that read pending detects a disconnect of the caller.
  const bool busy =
    state_ == State::Startup || state_ == State::Query || OutputFull();
  if (reading_ || state_ == State::Closed ||
      (busy && decoder_->PendingBytes() > 0)) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
    boost::asio::buffer(chunk_),
    [self = Pointer(this)](const error_code& aError, std::size_t aBytes) {
      self->OnRead(aError, aBytes);
    });
}

void
CallerSession::OnRead(const error_code& aError, std::size_t aBytes)
{
  reading_ = false;
  if (state_ == State::Closed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  lastReadAt_ = foundation::SteadyNow();
  if (state_ != State::Closing) {
    decoder_->Feed({ chunk_.data(), aBytes });
    HandleInput();
  }
  Read();
}

// Input is not processed while this holds, which also limits the output queue
// of a caller that sends unsupported messages and never reads the replies.
bool
CallerSession::OutputFull() const
{
  return QueuedBytes() >= options_.lowWaterBytes_;
}

void
CallerSession::HandleInput()
{
  // An observer may call FinishQuery from within OnQuery, which leads back
  // here; the loop of the outer call then continues with the next request.
  if (handlingInput_) {
    return;
  }
  handlingInput_ = true;
  while (HandleNext()) {
  }
  handlingInput_ = false;
  Read();
  EndIfIdle();
}

bool
CallerSession::HandleNext()
{
  const bool reads = state_ == State::Opening || state_ == State::Ready ||
                     state_ == State::Disconnecting;
  if (!reads || OutputFull()) {
    return false;
  }
  std::optional<CallerInput> input;
  if (const auto error = decoder_->ReadNext(status_, input)) {
    FailProtocol(error);
    return false;
  }
  if (!input) {
    return false;
  }
  std::visit([this](const auto& aInput) { Handle(aInput); }, *input);
  return true;
}

void
CallerSession::Handle(const CancelInput& aInput)
{
  observer_.OnCancel(aInput.key_);
  Close();
}

void
CallerSession::Handle(const DirectReply& aInput)
{
  Send(aInput.frames_);
}

void
CallerSession::Handle(const TerminateInput&)
{
  Close();
}

void
CallerSession::Handle(const StartupInput& aInput)
{
  timer_.cancel();
  state_ = State::Startup;
  if (!aInput.negotiation_.empty()) {
    Send(aInput.negotiation_);
  }
  if (startupRefusal_) {
    Refuse(*startupRefusal_);
    return;
  }
  observed_ = true;
  observer_.OnStartup(*this, aInput.request_);
}

void
CallerSession::Handle(const QueryInput& aInput)
{
  if (state_ == State::Disconnecting) {
    AnswerNotRun();
    return;
  }
  state_ = State::Query;
  awaitsFirstQuery_ = false;
  awaitsRest_ = false;
  queryId_ = aInput.id_;
  observer_.OnQuery(*this, aInput.text_);
}

void
CallerSession::FailProtocol(const std::error_code& aError)
{
  const bool version = aError == CallerError::UnsupportedProtocol;
  Refuse({ .sqlstate_ = std::string(version ? sqlstates::kFeatureNotSupported
                                            : sqlstates::kProtocolViolation),
           .message_ = aError.message() });
}

// Defers the write until the running handler ends, so that the last frames of
// a result and its ReadyForQuery are sent in one write.
void
CallerSession::ScheduleWrite()
{
  if (writePending_ || writePosted_) {
    return;
  }
  writePosted_ = true;
  boost::asio::post(context_, [self = Pointer(this)] {
    self->writePosted_ = false;
    self->Write();
  });
}

void
CallerSession::Write()
{
  if (writePending_ || state_ == State::Closed) {
    return;
  }
  if (written_ == writing_.size()) {
    writing_.clear();
    written_ = 0;
    if (writing_.capacity() > kMaxRetainedBufferBytes) {
      writing_.shrink_to_fit();
    }
    std::swap(writing_, queued_);
  }
  if (writing_.empty()) {
    if (state_ == State::Closing) {
      Linger(); // a protocol's appendFatal_ may write nothing
    }
    return;
  }
  writePending_ = true;
  socket_.async_write_some(
    boost::asio::buffer(writing_) + written_,
    [self = Pointer(this)](const error_code& aError, std::size_t aBytes) {
      self->OnWritten(aError, aBytes);
    });
}

void
CallerSession::OnWritten(const error_code& aError, std::size_t aBytes)
{
  writePending_ = false;
  if (state_ == State::Closed) {
    return;
  }
  if (aError) {
    Close();
    return;
  }
  const bool wasFull = OutputFull();
  written_ += aBytes;
  Write();
  if (state_ == State::Closing) {
    if (QueuedBytes() == 0) {
      Linger();
    }
  } else if (wasFull && !OutputFull()) {
    OnOutputDrained();
  }
}

void
CallerSession::OnOutputDrained()
{
  if (observed_) {
    observer_.OnDrained(*this);
  }
  HandleInput();
}

} // namespace wigeonlb::caller
