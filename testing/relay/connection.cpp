#include "testing/relay/connection.h"

#include <boost/asio/write.hpp>

namespace wigeonlb::testing::relay {

namespace asio = boost::asio;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using ErrorCode = boost::system::error_code;

namespace {

//! Reading pauses at this queue length, like the receive window of a real link.
constexpr std::size_t kMaxQueuedChunks = 64;

} // namespace

Connection::Direction::Direction(Socket& aInput, Socket& aOutput)
  : input_(aInput)
  , output_(aOutput)
  , timer_(aInput.get_executor())
{
}

Connection::Connection(tcp::socket aAccepted, const LinkTable& aLinks)
  : links_(aLinks)
  , clientSocket_(std::move(aAccepted))
  , serverSocket_(clientSocket_.get_executor())
  , toServer_(clientSocket_, serverSocket_)
  , toClient_(serverSocket_, clientSocket_)
{
}

void
Connection::Start(ProcessName aFrom,
                  ProcessName aTo,
                  const tcp::endpoint& aDestination)
{
  destination_ = aDestination;
  toServer_.from_ = toClient_.to_ = std::move(aFrom);
  toServer_.to_ = toClient_.from_ = std::move(aTo);
  OnLinksChanged();
}

bool
Connection::HasMode(LinkMode aMode) const
{
  return EitherDirectionHas(links_, toServer_.from_, toServer_.to_, aMode);
}

void
Connection::OnLinksChanged()
{
  if (closed_ || lost_ || destination_.port() == 0) {
    return;
  }
  if (HasMode(LinkMode::Refused)) {
    Close();
  } else if (connected_) {
    Pump(toServer_);
    Pump(toClient_);
  } else if (!connecting_ && !HasMode(LinkMode::Silent)) {
    Connect();
  }
}

void
Connection::MarkLostIfSilent()
{
  lost_ = lost_ || (destination_.port() != 0 && HasMode(LinkMode::Silent));
}

void
Connection::Close()
{
  closed_ = true;
  for (Direction* each : { &toServer_, &toClient_ }) {
    ErrorCode ignored;
    each->timer_.cancel();
    each->input_.set_option(asio::socket_base::linger(true, 0), ignored);
    each->input_.close(ignored);
  }
}

void
Connection::Connect()
{
  connecting_ = true;
  serverSocket_.async_connect(
    destination_, [this, self = shared_from_this()](ErrorCode aError) {
      if (closed_ || aError) {
        Close();
        return;
      }
      clientSocket_.set_option(tcp::no_delay(true), aError);
      serverSocket_.set_option(tcp::no_delay(true), aError);
      connected_ = true;
      OnLinksChanged();
    });
}

void
Connection::Pump(Direction& aDirection)
{
  if (closed_ || lost_) {
    return;
  }
  if (!aDirection.reading_ && !aDirection.inputEnded_ &&
      aDirection.queue_.size() < kMaxQueuedChunks) {
    Read(aDirection);
  }
  const LinkState link = GetLink(links_, aDirection.from_, aDirection.to_);
  if (aDirection.writing_ || aDirection.queue_.empty() ||
      link.mode_ != LinkMode::Open) {
    return;
  }
  if (aDirection.queue_.front().due_ > Clock::now()) {
    aDirection.timer_.expires_at(aDirection.queue_.front().due_);
    aDirection.timer_.async_wait(
      [this, self = shared_from_this(), &aDirection](ErrorCode aError) {
        if (!aError) {
          Pump(aDirection);
        }
      });
  } else if (aDirection.queue_.front().bytes_.empty()) {
    Close();
  } else {
    Write(aDirection);
  }
}

void
Connection::Read(Direction& aDirection)
{
  aDirection.reading_ = true;
  aDirection.input_.async_read_some(
    asio::buffer(aDirection.buffer_),
    [this, self = shared_from_this(), &aDirection](ErrorCode aError,
                                                   std::size_t aCount) {
      aDirection.reading_ = false;
      aDirection.inputEnded_ = static_cast<bool>(aError);
      const auto delay =
        GetLink(links_, aDirection.from_, aDirection.to_).delay_;
      aDirection.queue_.push_back(
        { Clock::now() + delay,
          std::string(aDirection.buffer_.data(), aError ? 0 : aCount) });
      Pump(aDirection);
    });
}

void
Connection::Write(Direction& aDirection)
{
  aDirection.writing_ = true;
  asio::async_write(aDirection.output_,
                    asio::buffer(aDirection.queue_.front().bytes_),
                    [this, self = shared_from_this(), &aDirection](
                      ErrorCode aError, std::size_t) {
                      aDirection.writing_ = false;
                      // After an error, the other direction reads the end of
                      // the connection and forwards it once its link is open.
                      if (!aError) {
                        aDirection.queue_.pop_front();
                        Pump(aDirection);
                      }
                    });
}

} // namespace wigeonlb::testing::relay
