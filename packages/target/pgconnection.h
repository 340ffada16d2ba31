#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <libpq-fe.h>

#include "target/targetconnection.h"

namespace wigeonlb::target {

//! A connection to a PostgreSQL target through libpq.
class PgConnection : public TargetConnection
{
public:
  PgConnection(boost::asio::io_context& aContext, TargetObserver& aObserver);
  ~PgConnection() override;
  PgConnection(const PgConnection&) = delete;
  PgConnection& operator=(const PgConnection&) = delete;

  void Open(const TargetAddress& aAddress,
            foundation::Duration aTimeout) override;

  //! Sends the queries as one message.
  bool Send(std::span<const Query> aQueries) override;

  void Pause() override;
  void Resume() override;

  //! Cancels over a separate connection on another thread.
  void Cancel() override;
  void Close() override;
  std::int32_t GetBackendId() const override;
  bool IsOpen() const override
  {
    return state_ == State::Idle || state_ == State::Busy;
  }

private:
  enum class State
  {
    Closed,
    Connecting,
    Idle,
    Busy
  };
  using Self = boost::intrusive_ptr<PgConnection>;

  void PollConnect();
  void WaitForSocket(bool aForWrite);
  void OnSocketReady();
  void FlushOutput();
  void ReadResults();
  void HandleResult(PGresult* aResult);
  void CloseAsLost(std::error_code aError);
  void ReleaseSocket();
  void AssignSocket();

  boost::asio::io_context& context_;
  TargetObserver& observer_;
  boost::asio::posix::stream_descriptor socket_;
  boost::asio::steady_timer connectTimer_;
  PGconn* connection_ = nullptr;
  State state_ = State::Closed;
  bool paused_ = false;
  bool reading_ = false;
  std::size_t resultIndex_ = 0;
  bool columnsReported_ = false;
  std::uint64_t generation_ = 0;
};

} // namespace wigeonlb::target
