#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "caller/frames.h"
#include "testing/standin/database.h"
#include "testing/standin/replicatedlog.h"
#include "testing/standin/settings.h"

namespace wigeonlb::testing::standin {

using Clock = std::chrono::steady_clock;

//! Columns of `standin_status`.
struct Status
{
  bool primary_ = false;
  std::uint64_t adoptedTerm_ = 0;
  std::uint64_t syncedOffset_ = 0;
  std::uint64_t appliedOffset_ = 0;
  std::uint64_t incarnation_ = 0;
  bool diverged_ = false;
};

//! Counters of `standin_stats`.
struct Stats
{
  std::uint64_t connections_ = 0;
  std::uint64_t maxConnectionsSeen_ = 0;
  std::uint64_t overLimitRefused_ = 0;
  std::uint64_t statements_ = 0;       //!< without those of replicas
  std::uint64_t callerStatements_ = 0; //!< statements_ without control calls
  std::uint64_t running_ = 0;          //!< statements in progress
  std::uint64_t maxConcurrent_ = 0;
};

//! Request for further log entries: where the replica's log ends, including the
//! entries in flight.
struct PullRequest
{
  std::uint64_t offset_ = 0;
  std::uint64_t digest_ = 0;
  std::uint64_t generation_ = 0; //!< State::generation_; not sent
};

struct PullReply
{
  bool primary_ = false;
  std::uint64_t term_ = 0;
  bool prefix_ = false; //!< the requester's log is a prefix of the peer's log
  std::vector<LogEntry> entries_;
};

//! Replication state of the server: role, term and log, and the simulated
//! replication delays. Thread-safe.
class State
{
public:
  explicit State(const Settings& aSettings);

  Status GetStatus();
  Settings GetSettings();
  Database& GetDatabase() { return database_; }

  //! Becomes the primary of the term and sets aStart to the log offset where
  //! the term begins. Idempotent. Returns the error message, empty on success.
  std::string Promote(std::uint64_t aTerm, std::uint64_t& aStart);

  //! Refuses terms below aTerm, both as primary and as replica. Returns true if
  //! the server was the primary of such a term.
  bool Fence(std::uint64_t aTerm);

  //! Becomes an empty replica with the next incarnation. The caller has ended
  //! the other sessions; waits until their transactions are over.
  void Rebuild();

  //! Changes a delay or switch. Returns false if the name is unknown.
  bool Set(std::string_view aName, std::string_view aValue);
  bool IsRefusingConnections();

  bool IsPrimary();

  //! Commits the connection's transaction and appends its statements to the
  //! log. Returns false if this server is not the primary (sets aFenced) or
  //! SQLite failed; the caller then rolls the transaction back.
  bool Commit(Connection& aConnection, std::string aScript, bool& aFenced);

  //! Answers a replica's request. Waits briefly for new entries if the replica
  //! is up to date. Returns false while log shipping is off.
  bool Pull(const PullRequest& aRequest, PullReply& aReply);

  PullRequest MakePullRequest();

  //! Processes the reply of a peer. Adopts the peer's term at once; the entries
  //! are received and applied after the configured delays.
  void HandlePullReply(const PullRequest& aRequest, PullReply aReply);

  //! Receives and applies entries when their delays have passed. Runs on its
  //! own thread.
  [[noreturn]] void Replay();

  //! Counts a new connection. Returns false if the limit is reached.
  bool AddConnection();
  void RemoveConnection();
  Stats GetStats();

  void CountStatement(bool aControl);

  //! Waits for a slot, then for the simulated cost of the statement. Returns
  //! false if cancelled. EndStatement() must follow in either case.
  bool BeginStatement(Cancellation& aCancellation);
  void EndStatement();

private:
  struct InFlight
  {
    LogEntry entry_;
    Clock::time_point due_;
  };

  // The following functions require mutex_ to be held.
  void QueueEntry(LogEntry aEntry);
  void ReceiveDue(Clock::time_point aNow);
  void ApplyDue(Clock::time_point aNow);
  bool ApplyNext();
  void WriteAppliedLog();
  Clock::time_point GetNextDue() const;
  void DropInFlight();
  bool TryRebuild();

  std::mutex mutex_;
  std::condition_variable changed_;
  Settings settings_;
  Database database_;
  bool primary_;
  std::uint64_t adoptedTerm_;
  std::uint64_t startOffset_ = 0; //!< where the term begins, on a primary
  std::uint64_t fencedBelow_ = 0; //!< terms below this one are refused
  std::uint64_t incarnation_;
  bool diverged_ = false;
  bool shipping_ = true;
  bool refusingConnections_ = false;
  ReplicatedLog log_;
  std::size_t applied_ = 0;                  //!< number of applied entries
  std::deque<Clock::time_point> receivedAt_; //!< of entries not yet applied
  std::deque<InFlight> inFlight_;
  Clock::time_point linkFreeAt_; //!< when the bandwidth allows more
  //! Incremented when entries in flight are dropped.
  std::uint64_t generation_ = 0;
  std::ofstream appliedLog_;
  Stats stats_;
  std::uint64_t usedSlots_ = 0;
  std::condition_variable slotFreed_;
};

} // namespace wigeonlb::testing::standin
