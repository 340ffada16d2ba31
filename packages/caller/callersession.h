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

//! Receives the events of sessions. Every callback runs on the thread of the
//! session's io_context, and its views are valid only during the call.
//! Callbacks may call methods of the session.
class CallerObserver
{
public:
  virtual ~CallerObserver() = default;

  //! The caller opens its session. Answer with AcceptStartup or Refuse, within
  //! the callback or later.
  virtual void OnStartup(CallerSession& aSession,
                         const StartupRequest& aRequest) = 0;

  //! Answer with any number of Send calls, then FinishQuery, within the
  //! callback or later. No further query arrives before FinishQuery. The text
  //! may be empty.
  virtual void OnQuery(CallerSession& aSession, std::string_view aSql) = 0;

  //! A CancelRequest was received. It arrives on a separate connection, which
  //! is closed afterwards.
  virtual void OnCancel(const CancelKey& aKey) = 0;

  //! The queued output fell below CallerSessionOptions::lowWaterBytes_ after it
  //! had reached it.
  virtual void OnDrained(CallerSession& aSession) = 0;

  //! The session was closed by either side. This is the last callback for the
  //! session. Not called for a connection that was closed before OnStartup.
  virtual void OnClosed(CallerSession& aSession) = 0;
};

//! Settings of a CallerSession.
struct CallerSessionOptions
{
  const Protocol* protocol_ = &PostgresqlProtocol();
  //! Time for a new connection to send its startup packet.
  foundation::Duration startupTimeout_ = std::chrono::seconds(10);
  std::size_t maxMessageBytes_ = std::size_t{ 16 } << 20U;
  std::size_t lowWaterBytes_ = std::size_t{ 256 } << 10U;
  //! Idle time before the first TCP keepalive probe, and the interval between
  //! two probes.
  foundation::Duration keepaliveIdle_ = std::chrono::seconds(30);
  foundation::Duration keepaliveInterval_ = std::chrono::seconds(10);
  int keepaliveProbes_ = 3;
  //! The connection is closed when sent data is not acknowledged within this
  //! time.
  foundation::Duration sendTimeout_ = std::chrono::seconds(60);
};

//! One connection of a caller. Bound to one io_context: all methods except
//! Number and Context may only be called on that io_context's thread.
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

  //! Starts to read. The session keeps itself alive until it is closed.
  void Start();

  //! Answers OnStartup with AuthenticationOk, the parameters, the cancel key
  //! and ReadyForQuery.
  void AcceptStartup(std::span<const Parameter> aParameters,
                     const CancelKey& aKey);

  //! Queues complete frames. Ignored when the session is closing or closed.
  //! NOTE The queue is not limited here: the sender must check QueuedBytes and
  //! wait for OnDrained.
  void Send(std::string aFrames);

  //! Sends ReadyForQuery and processes the next query.
  void FinishQuery(TransactionStatus aStatus);

  //! Sends the error with severity FATAL, then closes.
  void Refuse(ErrorFields aError);

  //! Ends the session as soon as it has no unanswered query and no open
  //! transaction. A query that has arrived is answered first, also one that is
  //! still unread. A session that is not open yet may send its first query.
  //! When called several times, the first error is sent.
  void RefuseWhenIdle(ErrorFields aError);

  //! Ends the session as soon as it has an open transaction, which is rolled
  //! back, and no unanswered query.
  void RefuseInTransaction(ErrorFields aError);

  //! Makes the session refuse the startup packet with this error instead of
  //! calling OnStartup. Cancel requests are still served. Call it before Start.
  void RefuseAtStartup(ErrorFields aError);

  //! Closes the connection immediately and drops queued output. OnClosed is
  //! posted to the io_context, not called from within Close.
  void Close();

  //! Output that is queued and not yet written to the socket, in bytes.
  std::size_t QueuedBytes() const;

  //! Unique within the process, never zero.
  std::uint64_t Number() const { return number_; }

  boost::asio::io_context& Context() const { return context_; }

  //! The caller's `address:port`; empty when the caller had disconnected before
  //! the session was created.
  const std::string& RemoteAddress() const { return remoteAddress_; }

  //! The caller's id of the query in progress; empty if the protocol has no
  //! query ids.
  const std::string& QueryId() const { return queryId_; }

  bool QueryInProgress() const { return state_ == State::Query; }
  bool Closed() const { return state_ == State::Closed; }
  TransactionStatus Status() const { return status_; }

  //! The container of open sessions, notified once when the session is closed:
  //! after OnClosed, and also when OnClosed is not called.
  struct Registry
  {
    virtual ~Registry() = default;
    virtual void OnSessionClosed(CallerSession& aSession) = 0;
  };
  void SetRegistry(Registry* aRegistry) { registry_ = aRegistry; }

  Hook hook_; //!< for the registry's list of sessions

private:
  enum class State
  {
    Opening, //!< waiting for a startup packet
    Startup, //!< waiting for AcceptStartup
    Ready,   //!< waiting for a query
    Query,   //!< waiting for FinishQuery
    //! The caller was told to disconnect. Its queries are not run any more.
    Disconnecting,
    Closing, //!< writing queued output, then closes
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
  void OnTimeout();
  void OnReadyTimeout();
  void AwaitFirstQuery();
  //! The error that ends the session now; null if it continues.
  const ErrorFields* GetDueRefusal() const;
  bool HasUnreadInput();
  void EndIfIdle();
  void EndNow();
  void Disconnect(const ErrorFields& aError);
  void AnswerNotRun();
  void BeginClosing();
  void Linger();
  void LogEnd(std::string_view aReason);

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
  bool observed_ = false; //!< whether OnStartup was called
  bool reading_ = false;
  bool handlingInput_ = false;
  bool writePosted_ = false;
  bool writePending_ = false;
  //! The session was opened while it was to be refused when idle, and has not
  //! sent a query yet.
  bool awaitsFirstQuery_ = false;
  //! A part of a query has arrived, and the session ends without the rest.
  bool awaitsRest_ = false;
  bool endPosted_ = false;
  std::optional<ErrorFields> idleRefusal_;
  std::optional<ErrorFields> transactionRefusal_;
  std::optional<ErrorFields> startupRefusal_;
  std::optional<ErrorFields> disconnectError_; //!< sent to the caller
  foundation::Instant lastReadAt_{};
  std::unique_ptr<Decoder> decoder_;
  std::string queryId_;
  std::array<char, kChunkBytes> chunk_;
  std::string queued_;
  std::string writing_;
  std::size_t written_ = 0; //!< bytes of writing_ already written
};

} // namespace wigeonlb::caller
