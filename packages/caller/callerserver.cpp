#include "caller/callerserver.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/intrusive/list.hpp>

#include "caller/sqlstates.h"

namespace wigeonlb::caller {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Delay after a failed accept, for example when file descriptors run out.
constexpr std::chrono::milliseconds kAcceptRetryDelayMs(100);
// Connections above the session limit whose startup packet is still read, so
// that cancel requests are served and other callers receive the error.
constexpr std::size_t kMaxExcessConnections = 64;
// Sessions that are told to end in one step of the event loop. Between two
// steps the queries that have arrived meanwhile are read.
constexpr std::size_t kSessionsPerStep = 16;

ErrorFields
TooManySessionsError()
{
  return { .sqlstate_ = std::string(sqlstates::kTooManyConnections),
           .message_ = "sorry, too many clients already" };
}

ErrorFields
ShuttingDownError()
{
  return { .sqlstate_ = std::string(sqlstates::kAdminShutdown),
           .message_ = "the server is shutting down",
           .hint_ = "Connect to another server." };
}

ErrorFields
HostIsolatedError()
{
  return { .sqlstate_ = std::string(sqlstates::kAdminShutdown),
           .message_ = "the server is cut off from the rest of the system",
           .hint_ = "Connect to another server." };
}

ErrorFields
TransactionRolledBackError()
{
  return { .sqlstate_ = std::string(sqlstates::kTransactionLost),
           .message_ = "the server is shutting down and has rolled the "
                       "transaction back",
           .hint_ = "Run it again at another server." };
}

} // namespace

// The sessions of one worker. Used only on the worker's thread.
class CallerServer::Shard : public CallerSession::Registry
{
public:
  Shard(CallerServer& aServer, const CallerWorker& aWorker)
    : server_(aServer)
    , worker_(aWorker)
  {
  }
  ~Shard() override
  {
    sessions_.clear_and_dispose([](CallerSession* aSession) {
      aSession->SetRegistry(nullptr);
      intrusive_ptr_release(aSession);
    });
  }
  Shard(const Shard&) = delete;
  Shard& operator=(const Shard&) = delete;

  boost::asio::io_context& Context() const { return *worker_.context_; }

  void Add(CallerSession::Socket aSocket, bool aOverLimit)
  {
    const boost::intrusive_ptr<CallerSession> session(
      new CallerSession(Context(),
                        std::move(aSocket),
                        *worker_.observer_,
                        server_.options_.session_));
    intrusive_ptr_add_ref(session.get());
    sessions_.push_back(*session);
    session->SetRegistry(this);
    if (aOverLimit) {
      session->RefuseAtStartup(TooManySessionsError());
    }
    session->Start();
    if (closing_) {
      session->RefuseWhenIdle(ShuttingDownError());
    }
    if (endsTransactions_) {
      session->RefuseInTransaction(TransactionRolledBackError());
    }
  }

  void CloseIdle()
  {
    closing_ = true;
    EndSessions(&CallerSession::RefuseWhenIdle, ShuttingDownError());
  }

  void DisconnectWhenIdle()
  {
    EndSessions(&CallerSession::RefuseWhenIdle, HostIsolatedError());
  }

  void EndTransactions()
  {
    endsTransactions_ = true;
    EndSessions(&CallerSession::RefuseInTransaction,
                TransactionRolledBackError());
  }

  void CloseAll()
  {
    closing_ = true;
    for (CallerSession& session : sessions_) {
      session.Close();
    }
  }

  void OnSessionClosed(CallerSession& aSession) override
  {
    sessions_.erase(sessions_.iterator_to(aSession));
    aSession.SetRegistry(nullptr);
    --server_.sessionCount_;
    intrusive_ptr_release(&aSession);
  }

private:
  using SessionPointer = boost::intrusive_ptr<CallerSession>;
  using End = void (CallerSession::*)(ErrorFields);

  //! Ends the sessions that are open now.
  void EndSessions(End aEnd, ErrorFields aError)
  {
    auto sessions = std::make_shared<std::deque<SessionPointer>>();
    for (CallerSession& session : sessions_) {
      sessions->emplace_back(&session);
    }
    EndNextSessions(sessions, aEnd, aError);
  }

  void EndNextSessions(std::shared_ptr<std::deque<SessionPointer>> aSessions,
                       End aEnd,
                       const ErrorFields& aError)
  {
    for (std::size_t i = 0; i < kSessionsPerStep && !aSessions->empty(); ++i) {
      (aSessions->front().get()->*aEnd)(aError);
      aSessions->pop_front();
    }
    if (!aSessions->empty()) {
      boost::asio::post(Context(), [this, aSessions, aEnd, aError] {
        EndNextSessions(aSessions, aEnd, aError);
      });
    }
  }

  using Sessions = boost::intrusive::list<
    CallerSession,
    boost::intrusive::
      member_hook<CallerSession, CallerSession::Hook, &CallerSession::hook_>>;

  CallerServer& server_;
  CallerWorker worker_;
  Sessions sessions_;
  bool closing_ = false;
  bool endsTransactions_ = false;
};

CallerServer::CallerServer(std::span<const CallerWorker> aWorkers,
                           const CallerServerOptions& aOptions)
  : options_(aOptions)
  , acceptor_(*aWorkers.front().context_)
  , retryTimer_(*aWorkers.front().context_)
{
  for (const CallerWorker& worker : aWorkers) {
    shards_.push_back(std::make_unique<Shard>(*this, worker));
  }
}

CallerServer::~CallerServer() = default;

std::error_code
CallerServer::Listen()
{
  error_code error;
  const auto address = boost::asio::ip::make_address(options_.address_, error);
  if (error) {
    return error;
  }
  const tcp::endpoint endpoint(address, options_.port_);
  const auto failed = [&error] { return error.failed(); };
  acceptor_.open(endpoint.protocol(), error);
  if (failed()) {
    return error;
  }
  acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  acceptor_.bind(endpoint, error);
  if (failed()) {
    return error;
  }
  acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  if (failed()) {
    return error;
  }
  port_ = acceptor_.local_endpoint(error).port();
  accepting_ = true;
  Accept();
  return {};
}

CallerServer::Shard&
CallerServer::NextShard()
{
  Shard& shard = *shards_[nextShard_];
  nextShard_ = (nextShard_ + 1) % shards_.size();
  return shard;
}

void
CallerServer::Accept()
{
  Shard& shard = NextShard();
  acceptor_.async_accept(
    shard.Context(),
    [this, &shard](const error_code& aError, tcp::socket aSocket) {
      OnAccepted(aError, shard, std::move(aSocket));
    });
}

void
CallerServer::OnAccepted(const error_code& aError,
                         Shard& aShard,
                         CallerSession::Socket aSocket)
{
  if (!aError) {
    AddSession(aShard, std::move(aSocket)); // also when accepting has stopped
  }
  if (!acceptor_.is_open()) {
    return;
  }
  if (aError) {
    retryTimer_.expires_after(kAcceptRetryDelayMs);
    retryTimer_.async_wait([this](const error_code& aWaitError) {
      if (!aWaitError && acceptor_.is_open()) {
        Accept();
      }
    });
    return;
  }
  Accept();
}

void
CallerServer::AddSession(Shard& aShard, CallerSession::Socket aSocket)
{
  const std::size_t limit = options_.maxSessions_;
  const bool overLimit = sessionCount_ >= limit;
  refusedCount_ += overLimit ? 1 : 0;
  if (sessionCount_ < limit + kMaxExcessConnections) {
    ++sessionCount_;
    boost::asio::post(
      aShard.Context(),
      [&aShard, overLimit, socket = std::move(aSocket)]() mutable {
        aShard.Add(std::move(socket), overLimit);
      });
  }
}

// Closing the listening socket would reset the connections in its queue.
void
CallerServer::AcceptQueued()
{
  error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Shard& shard = NextShard();
    tcp::socket socket(shard.Context());
    acceptor_.accept(socket, error);
    if (!error) {
      AddSession(shard, std::move(socket));
    }
  }
}

void
CallerServer::StopAccepting()
{
  boost::asio::post(shards_.front()->Context(), [this] {
    AcceptQueued();
    error_code ignored;
    acceptor_.close(ignored);
    retryTimer_.cancel();
    // A connection that was accepted before is added first.
    boost::asio::post(shards_.front()->Context(),
                      [this] { accepting_ = false; });
  });
}

void
CallerServer::CloseIdle()
{
  for (const auto& shard : shards_) {
    boost::asio::post(shard->Context(),
                      [shard = shard.get()] { shard->CloseIdle(); });
  }
}

void
CallerServer::DisconnectWhenIdle()
{
  for (const auto& shard : shards_) {
    boost::asio::post(shard->Context(),
                      [shard = shard.get()] { shard->DisconnectWhenIdle(); });
  }
}

void
CallerServer::EndTransactions()
{
  for (const auto& shard : shards_) {
    boost::asio::post(shard->Context(),
                      [shard = shard.get()] { shard->EndTransactions(); });
  }
}

void
CallerServer::CloseAll()
{
  for (const auto& shard : shards_) {
    boost::asio::post(shard->Context(),
                      [shard = shard.get()] { shard->CloseAll(); });
  }
}

} // namespace wigeonlb::caller
