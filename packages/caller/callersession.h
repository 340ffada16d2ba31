#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list_hook.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "caller/protocol.h"
#include "foundation/clock.h"

namespace wigeonlb::caller {

class CallerSession;

//! Receives what happens on sessions. Every call is made on the thread of the
//! session's io_context; views are valid during the call only. Calls of the
//! session from inside a callback are allowed.
class CallerObserver
{
public:
  virtual ~CallerObserver() = default;

  //! Answer with AcceptStartup or Refuse, now or later.
  virtual void OnStartup(CallerSession& aSession,
                         const StartupRequest& aRequest) = 0;

  //! Answer with Send, any number of times, then FinishQuery, now or later.
  //! No further query arrives before FinishQuery. The text may be empty.
  virtual void OnQuery(CallerSession& aSession, std::string_view aSql) = 0;

  //! A CancelRequest came in on a connection of its own, which is closed.
  virtual void OnCancel(const CancelKey& aKey) = 0;

  //! The queued output was at or above the low-water mark and fell below it.
  virtual void OnDrained(CallerSession& aSession) = 0;

  //! The session is closed, by whichever side; the last call for it. Not
  //! called for a connection that never got as far as OnStartup.
  virtual void OnClosed(CallerSession& aSession) = 0;
};

//! Settings of a session.
struct CallerSessionOptions
{
  const Protocol* protocol_ = &PostgresqlProtocol();
  //! Time for a new connection to send its startup packet.
  foundation::Duration startupTimeout_ = std::chrono::seconds(10);
  std::size_t maxMessageBytes_ = std::size_t{ 16 } << 20U;
  std::size_t lowWaterBytes_ = std::size_t{ 256 } << 10U;
  //! Idle time before the first TCP keepalive probe, and between two.
  foundation::Duration keepaliveIdle_ = std::chrono::seconds(30);
  foundation::Duration keepaliveInterval_ = std::chrono::seconds(10);
  int keepaliveProbes_ = 3;
  //! Bytes sent that stay unacknowledged for so long end the connection.
  foundation::Duration sendTimeout_ = std::chrono::seconds(60);
};

//! One connection of a caller. Bound to one io_context; every method but
//! Number and Context is for that io_context's thread.
class CallerSession
  : public boost::intrusive_ref_counter<CallerSession,
                                        boost::thread_safe_counter>
{
public:
  using Socket = boost::asio::ip::tcp::socket;
  using Hook = boost::intrusive::list_member_hook<
    boost::intrusive::link_mode<boost::intrusive::safe_link>>;

  //! aObserver and aContext must outlive the session.
  CallerSession(boost::asio::io_context& aContext,
                Socket aSocket,
                CallerObserver& aObserver,
                const CallerSessionOptions& aOptions);
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  //! Begins to read. The session keeps itself alive until it is closed.
  void Start();

  //! Answers OnStartup: AuthenticationOk, the parameters, the key, ready.
  void AcceptStartup(std::span<const Parameter> aParameters,
                     const CancelKey& aKey);

  //! Queues whole frames. Ignored once the session is closed or closing.
  //! NOTE Never refuses for size: the sender watches QueuedBytes and waits for
  //! OnDrained.
  void Send(std::string aFrames);

  //! Sends ReadyForQuery and lets the next query in.
  void FinishQuery(TransactionStatus aStatus);

  //! Sends the error with severity FATAL, then closes.
  void Refuse(ErrorFields aError);

  //! Refuses at once when no query is in progress and no transaction is open,
  //! else after the FinishQuery that makes it so. The first error stays.
  void RefuseWhenIdle(ErrorFields aError);

  //! Like RefuseWhenIdle, but an open transaction is ended with the session.
  void RefuseAfterQuery(ErrorFields aError);

  //! Before Start: refuses the startup packet with this error instead of
  //! calling OnStartup. Cancel requests are still served.
  void RefuseAtStartup(ErrorFields aError);

  //! Closes at once; queued output is dropped. OnClosed is called from the
  //! io_context, not from inside this call.
  void Close();

  //! Output that was queued and not yet taken by the socket, in bytes.
  std::size_t QueuedBytes() const;

  //! Unique in the process; never zero.
  std::uint64_t Number() const { return number_; }

  boost::asio::io_context& Context() const { return context_; }

  //! The caller's `address:port`; empty when it was gone at the accept.
  const std::string& RemoteAddress() const { return remoteAddress_; }

  //! The caller's own id of the query in progress; empty where its protocol has
  //! none.
  const std::string& QueryId() const { return queryId_; }

  bool QueryInProgress() const { return state_ == State::Query; }
  bool Closed() const { return state_ == State::Closed; }
  TransactionStatus Status() const { return status_; }

  //! Called once, after OnClosed, and also when OnClosed isn't: for the server
  //! that keeps the set of sessions.
  struct Registry
  {
    virtual ~Registry() = default;
    virtual void OnSessionClosed(CallerSession& aSession) = 0;
  };
  void SetRegistry(Registry* aRegistry) { registry_ = aRegistry; }

  Hook hook_; //!< of the owner's list

private:
  enum class State
  {
    Opening, //!< waiting for a startup packet
    Startup, //!< waiting for AcceptStartup
    Ready,   //!< waiting for a query
    Query,   //!< waiting for FinishQuery
    Closing, //!< writes what is queued, then closes
    Closed,
  };
  using Pointer = boost::intrusive_ptr<CallerSession>;
  static constexpr std::size_t kChunkBytes = 8192;

  void StartTimer(foundation::Duration aTimeout);
  void Read();
  void OnRead(const boost::system::error_code& aError, std::size_t aBytes);
  bool OutputFull() const;
  void HandleInput();
  bool HandleNext();
  void Handle(const StartupInput& aInput);
  void Handle(const CancelInput& aInput);
  void Handle(const QueryInput& aInput);
  void Handle(const DirectReply& aInput);
  void Handle(const TerminateInput& aInput);
  void OnOutputDrained();
  void FailProtocol(const std::error_code& aError);
  void ScheduleWrite();
  void Write();
  void OnWritten(const boost::system::error_code& aError, std::size_t aBytes);
  void RefuseIfIdle();
  void Linger();

  boost::asio::io_context& context_;
  Socket socket_;
  boost::asio::steady_timer timer_;
  CallerObserver& observer_;
  Registry* registry_ = nullptr;
  CallerSessionOptions options_;
  std::uint64_t number_;
  std::string remoteAddress_;
  State state_ = State::Opening;
  TransactionStatus status_ = TransactionStatus::Idle;
  bool observed_ = false; //!< OnStartup was called
  bool reading_ = false;
  bool handlingInput_ = false;
  bool writePosted_ = false;
  bool writePending_ = false;
  std::optional<ErrorFields> idleRefusal_;
  std::optional<ErrorFields> afterQueryRefusal_;
  std::optional<ErrorFields> startupRefusal_;
  std::unique_ptr<Decoder> decoder_;
  std::string queryId_;
  std::array<char, kChunkBytes> chunk_;
  std::string queued_;
  std::string writing_;
  std::size_t written_ = 0; //!< bytes of writing_ that the socket took
};

} // namespace wigeonlb::caller
