#include "testing/loadclient/loadsession.h"

#include <algorithm>
#include <cstdlib>
#include <thread>

#include "core/session/sessiontoken.h"
#include "testing/loadclient/pgrequest.h"

namespace wigeonlb::testing::loadclient {

namespace {

constexpr std::chrono::milliseconds kReconnectPauseMs(20);
constexpr std::chrono::milliseconds kRefusedPauseMs(5);
constexpr double kTokenAtStartupShare = 0.5;

// The connection option `options`, which sets a setting at startup. The value
// must not contain quotes or spaces.
std::string
StartupOption(const std::string& aName, const std::string& aValue)
{
  return "options='-c " + aName + "=" + aValue + "'";
}

std::uint64_t
FirstNumber(const harness::QueryResult& aResult)
{
  constexpr int kDecimal = 10;
  return aResult.rows_.empty()
           ? 0
           : std::strtoull(aResult.rows_[0][0].c_str(), nullptr, kDecimal);
}

} // namespace

LoadSession::LoadSession(const Settings& aSettings, std::uint64_t aIndex)
  : settings_(aSettings)
  , name_(aSettings.run_ + "-" + std::to_string(aIndex))
  , random_(aSettings.seed_ * 1000003 + aIndex)
  , connection_(nullptr, &PQfinish)
  , host_(aIndex % aSettings.hosts_.size())
{
}

void
LoadSession::Run(Instant aEnd)
{
  const std::uint64_t limit = settings_.requests_;
  const auto sent = [this] {
    return statistics_.reads_ + statistics_.writes_.size();
  };
  due_ = foundation::SteadyNow();
  while (foundation::SteadyNow() < aEnd && (limit == 0 || sent() < limit)) {
    if (EnsureConnected()) {
      if (WaitUntilDue(aEnd)) {
        SendRequest();
      }
    } else {
      ++statistics_.connectFailures_;
      Disconnect();
      host_ = (host_ + 1) % settings_.hosts_.size();
      std::this_thread::sleep_for(kReconnectPauseMs);
    }
  }
}

bool
LoadSession::WaitUntilDue(Instant aEnd)
{
  const bool scheduled = settings_.rate_ > 0;
  const auto pause = std::chrono::duration<double>(settings_.pause_).count();
  const double mean = scheduled ? settings_.sessions_ / settings_.rate_ : pause;
  if (mean == 0) {
    return true;
  }
  const Instant now = foundation::SteadyNow();
  due_ = (scheduled ? due_ : now) +
         std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(SampleExponential(mean)));
  statistics_.late_ += due_ < now ? 1 : 0;
  std::this_thread::sleep_for(std::min(due_, aEnd) - now);
  return due_ < aEnd;
}

double
LoadSession::SampleExponential(double aMean)
{
  return std::exponential_distribution<double>(1 / aMean)(random_);
}

void
LoadSession::SendRequest()
{
  if (settings_.hosts_.size() > 1 && Chance(settings_.moveShare_)) {
    ++statistics_.moves_;
    Disconnect();
    host_ = (host_ + 1 + random_() % (settings_.hosts_.size() - 1)) %
            settings_.hosts_.size();
    return;
  }
  if (Chance(settings_.writeShare_)) {
    SendWrite();
  } else if (Chance(settings_.tolerantShare_)) {
    ReadTolerant();
  } else {
    ReadOwnWrite();
  }
}

bool
LoadSession::EnsureConnected()
{
  if (connection_ && PQstatus(connection_.get()) == CONNECTION_OK) {
    return true;
  }
  const bool hasToken = !token_.empty() && !settings_.direct_;
  const bool byStartup = hasToken && Chance(kTokenAtStartupShare);
  tolerant_ = false;
  connection_ = ConnectWithTimeout(
    settings_.hosts_[host_],
    settings_.group_,
    byStartup ? StartupOption("wigeonlb.session", token_) : "",
    settings_.timeout_);
  return PQstatus(connection_.get()) == CONNECTION_OK &&
         (!hasToken || byStartup || SendToken());
}

bool
LoadSession::SendToken()
{
  return Query("SET wigeonlb.session='" + token_ + "'").sqlstate_.empty();
}

void
LoadSession::SendWrite()
{
  Write write;
  write.number_ = nextNumber_++;
  write.id_ = name_ + "-" + std::to_string(write.number_);
  const std::string insert = MakeInsert(write);
  const Instant sentAt = foundation::SteadyNow();
  const auto result = Chance(settings_.transactionShare_)
                        ? RunTransaction(insert)
                        : Query(insert);
  write.answeredAt_ = foundation::SteadyNow();
  write.outcome_ = OutcomeFromSqlstate(result.sqlstate_);
  if (write.outcome_ == Outcome::Done) {
    lastAcknowledged_ = write.number_;
    statistics_.writeTimes_.push_back(write.answeredAt_ - sentAt);
    UpdateToken();
  } else {
    std::this_thread::sleep_for(kRefusedPauseMs);
  }
  statistics_.writes_.push_back(std::move(write));
}

std::string
LoadSession::MakeInsert(const Write& aWrite) const
{
  return "INSERT INTO ledger(id, session, n) VALUES ('" + aWrite.id_ + "', '" +
         name_ + "', " + std::to_string(aWrite.number_) + ")";
}

// Returns the outcome of the whole transaction. Until COMMIT was sent, an
// unknown outcome counts as failed, as the write cannot have been committed.
harness::QueryResult
LoadSession::RunTransaction(const std::string& aInsert)
{
  constexpr const char* kFailedTransaction = "25P02";
  for (const std::string& sql : { std::string("BEGIN"), aInsert }) {
    auto result = Query(sql);
    if (!result.sqlstate_.empty()) {
      if (PQstatus(connection_.get()) == CONNECTION_OK) {
        Query("ROLLBACK");
      }
      if (OutcomeFromSqlstate(result.sqlstate_) == Outcome::Unknown) {
        result.sqlstate_ = kFailedTransaction;
      }
      return result;
    }
  }
  auto result = Query("COMMIT");
  if (result.tag_ == "ROLLBACK") {
    result.sqlstate_ = kFailedTransaction;
  }
  return result;
}

void
LoadSession::ReadOwnWrite()
{
  ++statistics_.reads_;
  if (!SetTolerance(false)) {
    ++statistics_.readsFailed_;
    return;
  }
  const Instant sentAt = foundation::SteadyNow();
  const auto result =
    QueryRead("SELECT count(*) FROM ledger WHERE session = '" + name_ +
              "' AND n = " + std::to_string(lastAcknowledged_));
  if (RecordRead(result, sentAt) && lastAcknowledged_ > 0) {
    statistics_.stale_ += FirstNumber(result) == 0 ? 1 : 0;
  }
}

void
LoadSession::ReadTolerant()
{
  ++statistics_.reads_;
  ++statistics_.tolerantReads_;
  if (!SetTolerance(true)) {
    ++statistics_.readsFailed_;
    return;
  }
  const Instant sentAt = foundation::SteadyNow();
  const auto result =
    QueryRead("SELECT max(n) FROM ledger WHERE session = '" + name_ + "'");
  if (RecordRead(result, sentAt)) {
    const bool tooOld = IsTooOld(
      statistics_.writes_, FirstNumber(result), sentAt, settings_.maxAge_);
    statistics_.tooOld_ += tooOld ? 1 : 0;
  }
}

bool
LoadSession::SetTolerance(bool aTolerant)
{
  if (tolerant_ == aTolerant || settings_.direct_) {
    return true;
  }
  const std::string age = std::to_string(settings_.maxAge_.count()) + "ms";
  const auto result = Query(aTolerant ? "SET wigeonlb.max_age='" + age + "'"
                                      : "RESET wigeonlb.max_age");
  if (!result.sqlstate_.empty()) {
    return false;
  }
  tolerant_ = aTolerant;
  return true;
}

bool
LoadSession::RecordRead(const harness::QueryResult& aResult, Instant aSentAt)
{
  switch (OutcomeFromSqlstate(aResult.sqlstate_)) {
    case Outcome::Done:
      statistics_.readTimes_.push_back(foundation::SteadyNow() - aSentAt);
      LogRead(aSentAt);
      return true;
    case Outcome::NotRun:
      ++statistics_.readsNotRun_;
      std::this_thread::sleep_for(kRefusedPauseMs);
      return false;
    case Outcome::Unknown:
    case Outcome::Failed:
      break;
  }
  ++statistics_.readsFailed_;
  return false;
}

// A read in a session without a floor (the minimum position that its reads must
// see) raises the floor to the position that this read had to see. The token
// received with the answer therefore always contains the floor of the read.
void
LoadSession::LogRead(Instant aSentAt)
{
  if (settings_.readLog_.empty()) {
    return;
  }
  UpdateToken();
  core::session::SessionFloors floors;
  (void)core::session::DecodeToken(token_, floors);
  statistics_.readLog_.push_back(
    { aSentAt, core::session::GetFloor(floors, settings_.group_), tolerant_ });
}

harness::QueryResult
LoadSession::QueryRead(const std::string& aSql)
{
  if (settings_.readHosts_.empty()) {
    return Query(aSql);
  }
  while (readConnections_.size() < settings_.readHosts_.size()) {
    readConnections_.emplace_back(nullptr, &PQfinish);
  }
  const std::size_t index = nextRead_++ % readConnections_.size();
  harness::PgConnection& connection = readConnections_[index];
  if (!connection || PQstatus(connection.get()) != CONNECTION_OK) {
    connection = ConnectWithTimeout(
      settings_.readHosts_[index], settings_.group_, "", settings_.timeout_);
  }
  return RunWithTimeout(*connection, aSql, settings_.timeout_);
}

harness::QueryResult
LoadSession::Query(const std::string& aSql)
{
  if (!connection_) {
    return { "08006", "the connection was already lost", {}, {} };
  }
  const Instant sentAt = foundation::SteadyNow();
  auto result = RunWithTimeout(*connection_, aSql, settings_.timeout_);
  if (OutcomeFromSqlstate(result.sqlstate_) == Outcome::NotRun) {
    statistics_.refusedTimes_.push_back(foundation::SteadyNow() - sentAt);
    const bool hasRetryAfter =
      result.message_.find("retry after") != std::string::npos;
    statistics_.withoutRetryAfter_ += hasRetryAfter ? 0 : 1;
  }
  if (!result.sqlstate_.empty()) {
    const std::string message =
      result.message_.substr(0, result.message_.find('\n'));
    ++statistics_.errors_[result.sqlstate_ + " " + message];
  }
  if (result.sqlstate_ == "08006" ||
      PQstatus(connection_.get()) != CONNECTION_OK) {
    Disconnect();
  }
  return result;
}

void
LoadSession::UpdateToken()
{
  const char* token = PQparameterStatus(connection_.get(), "wigeonlb.session");
  if (token != nullptr) {
    token_ = token;
  }
}

void
LoadSession::Disconnect()
{
  connection_.reset();
}

bool
LoadSession::Chance(double aShare)
{
  return std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
}

} // namespace wigeonlb::testing::loadclient
