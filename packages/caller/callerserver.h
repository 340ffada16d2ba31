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

//! A thread that serves sessions: its io_context and who hears of them.
struct CallerWorker
{
  boost::asio::io_context* context_ = nullptr;
  CallerObserver* observer_ = nullptr;
};

//! Settings of the server.
struct CallerServerOptions
{
  std::string address_ = "0.0.0.0"; //!< IP number
  std::uint16_t port_ = 0;          //!< 0: any free port; see Port()
  //! Connections over this are answered with 53300 and closed.
  std::size_t maxSessions_ = 10000;
  CallerSessionOptions session_;
};

//! Listens for callers and hands them to the workers in turn.
//! NOTE The server must outlive the running of its workers' io_contexts; it is
//! destroyed after their threads were joined.
class CallerServer
{
public:
  //! Accepts on the first worker's io_context. aWorkers must not be empty.
  CallerServer(std::span<const CallerWorker> aWorkers,
               const CallerServerOptions& aOptions);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  //! Binds, listens and begins to accept. Before the workers run, or on the
  //! first worker's thread.
  std::error_code Listen();

  //! The port that is listened on.
  std::uint16_t Port() const { return port_; }

  //! Closes the listening socket. From any thread.
  void StopAccepting();

  //! Closes every session with 57P01, each as soon as it has no query in
  //! progress and no open transaction. From any thread.
  void CloseIdle();

  //! Closes the sessions that are open now, each as soon as it is idle. New
  //! ones are taken. From any thread.
  void DisconnectWhenIdle();

  //! Ends open transactions with their sessions, each as soon as it has no
  //! query in progress. From any thread.
  void EndTransactions();

  //! Closes every session at once. From any thread.
  void CloseAll();

  //! Sessions open now, those that still start up included.
  std::size_t SessionCount() const { return sessionCount_; }

  //! Connections that came over the limit.
  std::uint64_t RefusedCount() const { return refusedCount_; }

private:
  class Shard;

  void Accept();
  void OnAccepted(const boost::system::error_code& aError,
                  Shard& aShard,
                  CallerSession::Socket aSocket);

  CallerServerOptions options_;
  std::deque<std::unique_ptr<Shard>> shards_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer retryTimer_;
  std::uint16_t port_ = 0;
  std::size_t nextShard_ = 0;
  std::atomic<std::size_t> sessionCount_ = 0;
  std::atomic<std::uint64_t> refusedCount_ = 0;
};

} // namespace wigeonlb::caller
