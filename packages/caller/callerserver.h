#pragma once

#include <atomic>
#include <deque>
#include <memory>
#include <span>
#include <string>
#include <system_error>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "caller/callersession.h"

namespace wigeonlb::caller {

//! A worker thread: the io_context that it runs and the observer of the
//! sessions that are served there.
struct CallerWorker
{
  boost::asio::io_context* context_ = nullptr;
  CallerObserver* observer_ = nullptr;
};

//! Settings of a CallerServer.
struct CallerServerOptions
{
  std::string address_ = "0.0.0.0"; //!< IP address to listen on
  std::uint16_t port_ = 0;          //!< 0 selects any free port; see Port()
  //! Connections above this limit are refused with SQLSTATE 53300 and closed.
  std::size_t maxSessions_ = 10000;
  CallerSessionOptions session_;
};

//! Accepts connections of callers and distributes them over the workers in
//! round-robin order.
//! NOTE Destroy the server only after the threads that run the workers'
//! io_contexts have been joined: pending handlers refer to it.
class CallerServer
{
public:
  //! Connections are accepted on the first worker's io_context. aWorkers must
  //! not be empty.
  CallerServer(std::span<const CallerWorker> aWorkers,
               const CallerServerOptions& aOptions);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  //! Binds the socket, listens and starts to accept. Call it before the workers
  //! run, or on the first worker's thread.
  std::error_code Listen();

  //! The port that the server listens on.
  std::uint16_t Port() const { return port_; }

  //! Accepts the connections that wait in the listening socket's queue, and
  //! closes it. Thread-safe.
  void StopAccepting();

  //! Closes every session with SQLSTATE 57P01, each as soon as it has no query
  //! in progress and no open transaction. Sessions that are added later are
  //! closed too. Thread-safe.
  void CloseIdle();

  //! Like CloseIdle, but only for the sessions that are open now; new sessions
  //! are still accepted. Thread-safe.
  void DisconnectWhenIdle();

  //! Closes every session with an open transaction as soon as it has no query
  //! in progress, and rolls back the transaction. Transactions that are begun
  //! later are ended too. Thread-safe.
  void EndTransactions();

  //! Closes every session immediately. Thread-safe.
  void CloseAll();

  //! Whether the listening socket is open.
  bool IsAccepting() const { return accepting_; }

  //! The number of open sessions, including those that are still starting up.
  std::size_t SessionCount() const { return sessionCount_; }

  //! The number of connections that exceeded the session limit.
  std::uint64_t RefusedCount() const { return refusedCount_; }

private:
  class Shard;

  void Accept();
  void AcceptQueued();
  void AddSession(Shard& aShard, CallerSession::Socket aSocket);
  Shard& NextShard();
  void OnAccepted(const boost::system::error_code& aError,
                  Shard& aShard,
                  CallerSession::Socket aSocket);

  CallerServerOptions options_;
  std::deque<std::unique_ptr<Shard>> shards_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retryTimer_;
  std::uint16_t port_ = 0;
  std::size_t nextShard_ = 0;
  std::atomic<bool> accepting_ = false;
  std::atomic<std::size_t> sessionCount_ = 0;
  std::atomic<std::uint64_t> refusedCount_ = 0;
};

} // namespace wigeonlb::caller
