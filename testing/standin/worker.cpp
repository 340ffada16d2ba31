#include "testing/standin/worker.h"

#include <thread>
#include <utility>

#include <boost/asio/post.hpp>

#include "testing/standin/standinserver.h"

namespace wigeonlb::testing::standin {

Worker::Worker(StandinServer& aServer,
               caller::CallerSession& aSession,
               const caller::CancelKey& aKey,
               bool aCountsTowardLimit,
               std::string aName)
  : server_(aServer)
  , session_(&aSession)
  , key_(aKey)
  , countsTowardLimit_(aCountsTowardLimit)
  , name_(std::move(aName))
{
}

void
Worker::Start()
{
  // Detached: the process ends with _Exit without waiting for statements.
  std::thread([self = shared_from_this()] { self->Run(); }).detach();
}

void
Worker::OnQuery(std::string_view aSql)
{
  const std::lock_guard lock(mutex_);
  if (!unresponsive_) {
    sql_ = aSql;
    hasQuery_ = true;
    openSince_ = openSince_.value_or(Clock::now());
    changed_.notify_all();
  }
}

void
Worker::OnDrained()
{
  const std::lock_guard lock(mutex_);
  drained_ = true;
  changed_.notify_all();
}

void
Worker::OnClosed()
{
  const std::lock_guard lock(mutex_);
  closed_ = true;
  changed_.notify_all();
}

void
Worker::Cancel()
{
  const std::lock_guard lock(mutex_);
  if (connection_ != nullptr && hasQuery_) {
    connection_->GetCancellation().Cancel();
    sqlite3_interrupt(connection_->Handle());
  }
}

void
Worker::Execute(SessionCommand aCommand)
{
  if (aCommand == SessionCommand::StopResponding) {
    unresponsive_ = true;
    return;
  }
  Cancel();
  boost::asio::post(session_->Context(),
                    [self = shared_from_this()] { self->session_->Close(); });
}

bool
Worker::IsOpenFor(std::chrono::milliseconds aAge)
{
  const std::lock_guard lock(mutex_);
  return openSince_ && Clock::now() - *openSince_ >= aAge;
}

void
Worker::Run()
{
  State& state = server_.GetState();
  if (countsTowardLimit_) {
    Connection& connection = state.GetDatabase().Acquire();
    const std::lock_guard lock(mutex_);
    connection_ = &connection;
  }
  RunQueries();
  if (countsTowardLimit_) {
    Connection* connection = nullptr;
    {
      const std::lock_guard lock(mutex_);
      connection = std::exchange(connection_, nullptr);
    }
    state.GetDatabase().Release(*connection);
    state.RemoveConnection();
  }
}

void
Worker::RunQueries()
{
  State& state = server_.GetState();
  std::this_thread::sleep_for(state.GetSettings().connectCost_);
  boost::asio::post(session_->Context(), [self = shared_from_this()] {
    const caller::Parameter parameters[] = {
      { "server_version", "15.0 (standin)" },
      { "server_encoding", "UTF8" },
      { "client_encoding", "UTF8" },
      { "standard_conforming_strings", "on" },
      { "integer_datetimes", "on" },
    };
    self->session_->AcceptStartup(parameters, self->key_);
  });
  QueryRunner runner(
    state,
    connection_,
    { .flush_ = [this](std::string aFrames) { Flush(std::move(aFrames)); },
      .executeOnOthers_ =
        [this](SessionCommand aCommand) {
          server_.ExecuteOnOthers(*this, aCommand);
        },
      .endSessions_ =
        [this](const SessionMatch& aMatch) {
          return server_.EndSessions(*this, aMatch);
        } });
  std::string sql;
  while (NextQuery(sql)) {
    std::string frames = runner.Run(sql);
    Finish(std::move(frames), runner.Status());
  }
}

bool
Worker::NextQuery(std::string& aSql)
{
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return hasQuery_ || closed_; });
  if (!hasQuery_) {
    return false;
  }
  aSql = std::move(sql_);
  return true;
}

void
Worker::Flush(std::string aFrames)
{
  if (unresponsive_) {
    return;
  }
  std::unique_lock lock(mutex_);
  drained_ = false;
  boost::asio::post(
    session_->Context(),
    [self = shared_from_this(), frames = std::move(aFrames)]() mutable {
      self->session_->Send(std::move(frames));
      const auto lowWater = caller::CallerSessionOptions().lowWaterBytes_;
      if (self->session_->QueuedBytes() < lowWater) {
        self->OnDrained();
      }
    });
  changed_.wait(lock, [this] { return drained_ || closed_; });
}

void
Worker::Finish(std::string aFrames, caller::TransactionStatus aStatus)
{
  {
    const std::lock_guard lock(mutex_);
    hasQuery_ = false;
    if (aStatus == caller::TransactionStatus::Idle) {
      openSince_.reset();
    }
    if (connection_ != nullptr) {
      connection_->GetCancellation().Reset();
    }
  }
  if (unresponsive_) {
    return;
  }
  boost::asio::post(session_->Context(),
                    [self = shared_from_this(),
                     aStatus,
                     frames = std::move(aFrames)]() mutable {
                      self->session_->Send(std::move(frames));
                      self->session_->FinishQuery(aStatus);
                    });
}

} // namespace wigeonlb::testing::standin
