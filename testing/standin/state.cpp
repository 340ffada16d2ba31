#include "testing/standin/state.h"

#include <algorithm>
#include <charconv>
#include <thread>

#include "foundation/logging.h"

namespace wigeonlb::testing::standin {

namespace {

using Lock = std::unique_lock<std::mutex>;
using std::chrono::milliseconds;

constexpr std::size_t kMaxPullBytes = std::size_t{ 1 } << 20U;
constexpr milliseconds kPullWaitMs(50);
constexpr milliseconds kRetryMs(2);

std::uint64_t
ToNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

} // namespace

State::State(const Settings& aSettings)
  : settings_(aSettings)
  , database_(aSettings.connections_)
  , primary_(aSettings.primary_)
  , adoptedTerm_(aSettings.term_)
  , incarnation_(aSettings.incarnation_)
{
  if (!settings_.appliedLog_.empty()) {
    appliedLog_.open(settings_.appliedLog_);
  }
}

Status
State::GetStatus()
{
  const Lock lock(mutex_);
  const std::uint64_t applied =
    applied_ == 0 ? 0 : log_[applied_ - 1].endOffset_;
  return { primary_, adoptedTerm_, EndOffset(log_),
           applied,  incarnation_, diverged_ };
}

Settings
State::GetSettings()
{
  const Lock lock(mutex_);
  Settings settings = settings_;
  settings.incarnation_ = incarnation_;
  return settings;
}

std::string
State::Promote(std::uint64_t aTerm, std::uint64_t& aStart)
{
  const Lock lock(mutex_);
  if (primary_ && aTerm == adoptedTerm_) {
    aStart = startOffset_;
    return {};
  }
  if (aTerm <= adoptedTerm_ || aTerm < fencedBelow_) {
    return "term " + std::to_string(aTerm) +
           " is too low: the server has adopted or is fenced at term " +
           std::to_string(std::max(adoptedTerm_, fencedBelow_));
  }
  if (diverged_) {
    return "the log has diverged";
  }
  DropInFlight();
  while (applied_ < log_.size()) {
    if (!ApplyNext()) {
      return "the log could not be applied";
    }
  }
  primary_ = true;
  adoptedTerm_ = aTerm;
  startOffset_ = EndOffset(log_);
  aStart = startOffset_;
  changed_.notify_all();
  foundation::LogChange("standin",
                        "promoted",
                        { { "target", settings_.target_ },
                          { "term", std::to_string(aTerm) },
                          { "start", std::to_string(startOffset_) } });
  return {};
}

bool
State::Fence(std::uint64_t aTerm)
{
  const Lock lock(mutex_);
  fencedBelow_ = std::max(fencedBelow_, aTerm);
  const bool wasPrimary = primary_ && adoptedTerm_ < fencedBelow_;
  primary_ = primary_ && !wasPrimary;
  // Entries still in flight from the fenced primary are discarded.
  if (!primary_ && adoptedTerm_ < fencedBelow_) {
    DropInFlight();
  }
  changed_.notify_all();
  return wasPrimary;
}

void
State::Rebuild()
{
  while (true) {
    {
      const Lock lock(mutex_);
      if (TryRebuild()) {
        return;
      }
    }
    std::this_thread::sleep_for(kRetryMs);
  }
}

bool
State::TryRebuild()
{
  primary_ = false;
  if (!database_.Clear()) {
    return false;
  }
  DropInFlight();
  log_.clear();
  receivedAt_.clear();
  applied_ = 0;
  adoptedTerm_ = 0;
  diverged_ = false;
  ++incarnation_;
  changed_.notify_all();
  return true;
}

bool
State::Set(std::string_view aName, std::string_view aValue)
{
  const Lock lock(mutex_);
  const bool on = aValue == "on";
  const auto number = ToNumber(aValue);
  if (aName == "ship") {
    shipping_ = on;
  } else if (aName == "refuse") {
    refusingConnections_ = on;
  } else if (aName == "ship_delay_ms") {
    settings_.shipDelay_ = milliseconds(number);
  } else if (aName == "apply_delay_ms") {
    settings_.applyDelay_ = milliseconds(number);
  } else if (aName == "statement_cost_ms") {
    settings_.statementCost_ = milliseconds(number);
  } else if (aName == "connect_cost_ms") {
    settings_.connectCost_ = milliseconds(number);
  } else if (aName == "bandwidth_bytes_per_second") {
    settings_.bandwidth_ = number;
  } else {
    return false;
  }
  changed_.notify_all();
  return true;
}

bool
State::IsRefusingConnections()
{
  const Lock lock(mutex_);
  return refusingConnections_;
}

bool
State::IsPrimary()
{
  const Lock lock(mutex_);
  return primary_;
}

bool
State::Commit(Connection& aConnection, std::string aScript, bool& aFenced)
{
  // The lock is held during the commit so that the order of the log entries is
  // the order of the commits.
  const Lock lock(mutex_);
  aFenced = !primary_;
  if (aFenced || !aConnection.Run("COMMIT")) {
    return false;
  }
  AppendEntry(log_, adoptedTerm_, std::move(aScript));
  applied_ = log_.size();
  WriteAppliedLog();
  changed_.notify_all();
  return true;
}

bool
State::Pull(const PullRequest& aRequest, PullReply& aReply)
{
  Lock lock(mutex_);
  std::size_t next = 0;
  const auto shouldReply = [&] {
    aReply.prefix_ = IsPrefix(log_, aRequest.offset_, aRequest.digest_, next);
    return !shipping_ || !primary_ || !aReply.prefix_ || next < log_.size();
  };
  changed_.wait_for(lock, kPullWaitMs, shouldReply);
  aReply.primary_ = primary_;
  aReply.term_ = adoptedTerm_;
  std::size_t bytes = 0;
  for (; aReply.prefix_ && next < log_.size() && bytes < kMaxPullBytes;
       ++next) {
    bytes += log_[next].script_.size();
    aReply.entries_.push_back(log_[next]);
  }
  return shipping_;
}

PullRequest
State::MakePullRequest()
{
  const Lock lock(mutex_);
  if (!inFlight_.empty()) {
    const LogEntry& last = inFlight_.back().entry_;
    return { last.endOffset_, last.digest_, generation_ };
  }
  return { EndOffset(log_), EndDigest(log_), generation_ };
}

// NOTE A primary that finds another primary with a higher term remains primary,
// as real database servers do, until it is fenced or rebuilt.
void
State::HandlePullReply(const PullRequest& aRequest, PullReply aReply)
{
  const Lock lock(mutex_);
  const bool canFollow = aReply.primary_ && aReply.term_ >= adoptedTerm_ &&
                         aReply.term_ >= fencedBelow_;
  if (primary_ || diverged_ || !canFollow ||
      aRequest.generation_ != generation_) {
    return;
  }
  const bool isNewTerm = aReply.term_ > adoptedTerm_;
  adoptedTerm_ = aReply.term_;
  if ((isNewTerm || !aReply.prefix_) && !inFlight_.empty()) {
    // The entries in flight are from an earlier primary. They are discarded,
    // and the next request starts from the end of the log.
    DropInFlight();
    return;
  }
  diverged_ = !aReply.prefix_;
  if (diverged_) {
    foundation::LogWarning("standin",
                           "diverged",
                           { { "target", settings_.target_ },
                             { "offset", std::to_string(EndOffset(log_)) } });
    return;
  }
  for (LogEntry& entry : aReply.entries_) {
    QueueEntry(std::move(entry));
  }
  changed_.notify_all();
}

void
State::QueueEntry(LogEntry aEntry)
{
  constexpr std::uint64_t kMicrosecondsPerSecond = 1000000;
  linkFreeAt_ = std::max(linkFreeAt_, Clock::now());
  if (settings_.bandwidth_ > 0) {
    linkFreeAt_ += std::chrono::microseconds(
      aEntry.script_.size() * kMicrosecondsPerSecond / settings_.bandwidth_);
  }
  auto due = linkFreeAt_ + settings_.shipDelay_;
  if (!inFlight_.empty()) {
    due = std::max(due, inFlight_.back().due_);
  }
  inFlight_.push_back({ std::move(aEntry), due });
}

void
State::DropInFlight()
{
  inFlight_.clear();
  linkFreeAt_ = {};
  ++generation_;
}

void
State::Replay()
{
  Lock lock(mutex_);
  while (true) {
    ReceiveDue(Clock::now());
    ApplyDue(Clock::now());
    changed_.wait_until(lock, GetNextDue());
  }
}

void
State::ReceiveDue(Clock::time_point aNow)
{
  while (!inFlight_.empty() && inFlight_.front().due_ <= aNow) {
    log_.push_back(std::move(inFlight_.front().entry_));
    receivedAt_.push_back(aNow);
    inFlight_.pop_front();
  }
}

void
State::ApplyDue(Clock::time_point aNow)
{
  while (!receivedAt_.empty() &&
         receivedAt_.front() + settings_.applyDelay_ <= aNow && ApplyNext()) {
  }
}

bool
State::ApplyNext()
{
  Connection& applier = database_.Applier();
  const std::string script =
    "BEGIN IMMEDIATE;" + log_[applied_].script_ + ";COMMIT";
  if (!applier.Run(script)) {
    const bool busy = sqlite3_errcode(applier.Handle()) == SQLITE_BUSY;
    if (!busy) {
      foundation::LogWarning(
        "standin", "apply failed", { { "error", applier.ErrorText() } });
    }
    diverged_ = diverged_ || !busy;
    applier.Run("ROLLBACK");
    return false;
  }
  ++applied_;
  WriteAppliedLog();
  receivedAt_.pop_front();
  return true;
}

// Writes the time, in microseconds of the steady clock, which all processes of
// a machine share, and the offset that is applied from that time on.
void
State::WriteAppliedLog()
{
  if (!appliedLog_.is_open()) {
    return;
  }
  const auto now = std::chrono::duration_cast<std::chrono::microseconds>(
    Clock::now().time_since_epoch());
  // Flushes each line, as the process may be killed at any time.
  appliedLog_ << now.count() << ',' << log_[applied_ - 1].endOffset_
              << std::endl;
}

Clock::time_point
State::GetNextDue() const
{
  constexpr std::chrono::seconds kIdleWaitSeconds(1);
  const auto now = Clock::now();
  auto due = now + kIdleWaitSeconds;
  if (!inFlight_.empty()) {
    due = std::min(due, inFlight_.front().due_);
  }
  if (!receivedAt_.empty() && !diverged_) {
    // An entry that is due but could not be applied, because the database was
    // busy, is retried after kRetryMs.
    due = std::min(
      due,
      std::max(receivedAt_.front() + settings_.applyDelay_, now + kRetryMs));
  }
  return due;
}

bool
State::AddConnection()
{
  const Lock lock(mutex_);
  if (stats_.connections_ >= settings_.connections_) {
    ++stats_.overLimitRefused_;
    return false;
  }
  ++stats_.connections_;
  stats_.maxConnectionsSeen_ =
    std::max(stats_.maxConnectionsSeen_, stats_.connections_);
  return true;
}

void
State::RemoveConnection()
{
  const Lock lock(mutex_);
  --stats_.connections_;
}

Stats
State::GetStats()
{
  const Lock lock(mutex_);
  return stats_;
}

void
State::CountStatement(bool aControl)
{
  const Lock lock(mutex_);
  ++stats_.statements_;
  stats_.callerStatements_ += aControl ? 0 : 1;
}

bool
State::BeginStatement(Cancellation& aCancellation)
{
  Lock lock(mutex_);
  ++stats_.running_;
  stats_.maxConcurrent_ = std::max(stats_.maxConcurrent_, stats_.running_);
  while (usedSlots_ >= settings_.slots_ && !aCancellation.IsCancelled()) {
    slotFreed_.wait_for(lock, kRetryMs);
  }
  ++usedSlots_;
  const auto cost = settings_.statementCost_;
  lock.unlock();
  return cost.count() == 0 ? !aCancellation.IsCancelled()
                           : aCancellation.Sleep(cost);
}

void
State::EndStatement()
{
  const Lock lock(mutex_);
  --stats_.running_;
  --usedSlots_;
  slotFreed_.notify_one();
}

} // namespace wigeonlb::testing::standin
