// Part of CallerSession: how this host ends a session.
#include "caller/callersession.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

#include "foundation/logging.h"

namespace wigeonlb::caller {

namespace {

using boost::system::error_code;

// Time for a refused caller to read the error and close the connection.
constexpr std::chrono::milliseconds kLingerTimeoutMs(1000);

// Time for a caller that was told to disconnect to do so.
constexpr std::chrono::milliseconds kDisconnectTimeoutMs(1000);

// Time for a caller to open its session and send its first query while the
// host closes its sessions.
constexpr std::chrono::milliseconds kFirstQueryTimeoutMs(500);

} // namespace

void
CallerSession::Refuse(ErrorFields aError)
{
  if (state_ == State::Closing || state_ == State::Closed) {
    return;
  }
  aError.severity_ = "FATAL";
  std::string frames;
  options_.protocol_->appendFatal_(frames, aError);
  if (state_ == State::Query && options_.protocol_->appendDisconnect_) {
    options_.protocol_->appendReady_(frames, TransactionStatus::Idle);
  }
  Send(std::move(frames));
  BeginClosing();
}

void
CallerSession::RefuseWhenIdle(ErrorFields aError)
{
  if (!idleRefusal_) {
    idleRefusal_ = std::move(aError);
  }
  if (state_ == State::Opening) {
    StartTimer(kFirstQueryTimeoutMs);
  }
  EndIfIdle();
}

void
CallerSession::RefuseInTransaction(ErrorFields aError)
{
  transactionRefusal_ = std::move(aError);
  EndIfIdle();
}

void
CallerSession::RefuseAtStartup(ErrorFields aError)
{
  startupRefusal_ = std::move(aError);
}

//! A session that is opened while it is to be refused when idle.
void
CallerSession::AwaitFirstQuery()
{
  if (idleRefusal_) {
    awaitsFirstQuery_ = true;
    StartTimer(kFirstQueryTimeoutMs);
  }
}

const ErrorFields*
CallerSession::GetDueRefusal() const
{
  if (state_ != State::Ready) {
    return nullptr;
  }
  const auto& refusal =
    status_ == TransactionStatus::Idle ? idleRefusal_ : transactionRefusal_;
  return refusal && !awaitsFirstQuery_ ? &*refusal : nullptr;
}

bool
CallerSession::HasUnreadInput()
{
  error_code error;
  return socket_.available(error) > 0;
}

void
CallerSession::EndIfIdle()
{
  if (GetDueRefusal() == nullptr || handlingInput_) {
    return;
  }
  if (decoder_->PendingBytes() > 0) {
    if (!std::exchange(awaitsRest_, true)) {
      StartTimer(kFirstQueryTimeoutMs);
    }
    return;
  }
  // Input that was read before may wait in the queue of handlers.
  if (!std::exchange(endPosted_, true)) {
    boost::asio::post(context_, [self = Pointer(this)] {
      self->endPosted_ = false;
      self->EndNow();
    });
  }
}

void
CallerSession::EndNow()
{
  const ErrorFields* const error = GetDueRefusal();
  if (error != nullptr && decoder_->PendingBytes() == 0 && !HasUnreadInput()) {
    Disconnect(*error);
  }
}

void
CallerSession::Disconnect(const ErrorFields& aError)
{
  LogEnd(aError.message_);
  if (options_.protocol_->appendDisconnect_ == nullptr) {
    Refuse(aError);
    return;
  }
  state_ = State::Disconnecting;
  disconnectError_ = aError;
  std::string frames;
  options_.protocol_->appendDisconnect_(frames, aError);
  Send(std::move(frames));
  StartTimer(kDisconnectTimeoutMs);
}

//! A query that crossed the message to disconnect: its caller took that for the
//! response, which only has to be completed.
void
CallerSession::AnswerNotRun()
{
  std::string frames;
  options_.protocol_->appendReady_(frames, TransactionStatus::Idle);
  options_.protocol_->appendDisconnect_(frames, *disconnectError_);
  Send(std::move(frames));
}

void
CallerSession::OnTimeout()
{
  const bool ends = idleRefusal_ || transactionRefusal_;
  if (state_ != State::Closing && ends && HasUnreadInput()) {
    StartTimer(kFirstQueryTimeoutMs); // is read first
    return;
  }
  switch (state_) {
    case State::Opening:
    case State::Closing:
      Close();
      return;
    case State::Ready:
      OnReadyTimeout();
      return;
    case State::Disconnecting:
      BeginClosing();
      return;
    default:
      return;
  }
}

void
CallerSession::OnReadyTimeout()
{
  awaitsFirstQuery_ = false;
  const ErrorFields* const error = GetDueRefusal();
  if (error != nullptr && awaitsRest_) {
    Disconnect(*error);
  } else {
    EndIfIdle();
  }
}

void
CallerSession::BeginClosing()
{
  state_ = State::Closing;
  timer_.cancel();
  ScheduleWrite();
  Read();
}

// Shuts down the sending side only. Closing the socket with unread input would
// reset the connection, and the caller might not receive the error.
void
CallerSession::Linger()
{
  error_code ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  StartTimer(kLingerTimeoutMs);
}

void
CallerSession::LogEnd(std::string_view aReason)
{
  const auto idle = foundation::SteadyNow() - lastReadAt_;
  foundation::LogChange(
    "caller",
    "session-ended",
    { { "address", remoteAddress_ },
      { "reason", std::string(aReason) },
      { "last_read_ms", std::to_string(foundation::ToMilliseconds(idle)) } });
}

} // namespace wigeonlb::caller
