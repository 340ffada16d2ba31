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

//! What `standin_status` tells.
struct Status
{
  bool primary_ = false;
  std::uint64_t adoptedTerm_ = 0;
  std::uint64_t syncedOffset_ = 0;
  std::uint64_t appliedOffset_ = 0;
  std::uint64_t incarnation_ = 0;
  bool diverged_ = false;
};

//! What `standin_stats` tells.
struct Stats
{
  std::uint64_t connections_ = 0;
  std::uint64_t maxConnectionsSeen_ = 0;
  std::uint64_t overLimitRefused_ = 0;
  std::uint64_t statements_ = 0;       //!< all but those of replication
  std::uint64_t callerStatements_ = 0; //!< likewise without standin_ calls
  std::uint64_t running_ = 0;          //!< statements in progress now
  std::uint64_t maxConcurrent_ = 0;
};

//! Where a replica's log ends, in flight included, when it asks for more.
struct PullRequest
{
  std::uint64_t offset_ = 0;
  std::uint64_t digest_ = 0;
  std::uint64_t generation_ = 0; //!< of the asking replica; not sent
};

struct PullReply
{
  bool primary_ = false;
  std::uint64_t term_ = 0;
  bool prefix_ = false; //!< the asker's log is a prefix of this one
  std::vector<LogEntry> entries_;
};

//! The server's replicated state: role, term, log, and the delays that its
//! replication simulates. Safe to use from every thread.
class State
{
public:
  explicit State(const Settings& aSettings);

  Status GetStatus();
  Settings GetSettings();
  Database& GetDatabase() { return database_; }

  //! Leads the term; returns in aStart the offset where it begins. Idempotent.
  //! Returns an error's text, empty when done.
  std::string Promote(std::uint64_t aTerm, std::uint64_t& aStart);

  //! Stops leading and following below the term. True when it led.
  bool Fence(std::uint64_t aTerm);

  //! Becomes a blank replica with the next incarnation. The caller has closed
  //! the sessions; waits until their transactions are over.
  void Rebuild();

  //! Changes a delay or switch; false when there is none of this name.
  bool Set(std::string_view aName, std::string_view aValue);
  bool IsRefusingConnections();

  bool IsPrimary();

  //! Commits the connection's transaction and logs its statements. False when
  //! it doesn't lead (aFenced) or SQLite failed; then it is rolled back.
  bool Commit(Connection& aConnection, std::string aScript, bool& aFenced);

  //! Answers a replica; waits a little for news when it has all. False while
  //! shipping is off.
  bool Pull(const PullRequest& aRequest, PullReply& aReply);

  PullRequest MakePullRequest();

  //! Takes in what a peer answered; the entries become visible as the delays
  //! say. Adopts the peer's term at once.
  void HandlePullReply(const PullRequest& aRequest, PullReply aReply);

  //! Moves entries through the delays; for a thread of its own.
  [[noreturn]] void Replay();

  //! Counts a new connection; false when it is over the limit.
  bool AddConnection();
  void RemoveConnection();
  Stats GetStats();

  void CountStatement(bool aControl);

  //! Waits for a slot and the statement's cost; false when cancelled.
  bool BeginStatement(Cancellation& aCancellation);
  void EndStatement();

private:
  struct InFlight
  {
    LogEntry entry_;
    Clock::time_point due_;
  };

  // All of these are called with mutex_ held.
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
  std::uint64_t startOffset_ = 0; //!< of the term that it leads
  std::uint64_t fencedBelow_ = 0;
  std::uint64_t incarnation_;
  bool diverged_ = false;
  bool shipping_ = true;
  bool refusingConnections_ = false;
  ReplicatedLog log_;
  std::size_t applied_ = 0;                  //!< entries applied
  std::deque<Clock::time_point> receivedAt_; //!< of entries not yet applied
  std::deque<InFlight> inFlight_;
  Clock::time_point linkFreeAt_; //!< when the bandwidth allows more
  std::uint64_t generation_ = 0; //!< rises when what is in flight is dropped
  std::ofstream appliedLog_;
  Stats stats_;
  std::uint64_t usedSlots_ = 0;
  std::condition_variable slotFreed_;
};

} // namespace wigeonlb::testing::standin
