#include "testing/standin/standinserver.h"

#include "caller/sqlstates.h"

namespace wigeonlb::testing::standin {

namespace {

caller::ErrorFields
Error(std::string_view aSqlstate, const char* aMessage)
{
  return { .sqlstate_ = std::string(aSqlstate), .message_ = aMessage };
}

} // namespace

StandinServer::StandinServer(State& aState)
  : state_(aState)
{
}

void
StandinServer::OnStartup(caller::CallerSession& aSession,
                         const caller::StartupRequest& aRequest)
{
  const bool countsTowardLimit = aRequest.user_ != kReplicationUser;
  if (countsTowardLimit && state_.IsRefusingConnections()) {
    aSession.Refuse(
      Error(caller::sqlstates::kNotRun, "the server refuses connections"));
    return;
  }
  if (countsTowardLimit && !state_.AddConnection()) {
    aSession.Refuse(Error(caller::sqlstates::kTooManyConnections,
                          "sorry, too many clients already"));
    return;
  }
  std::string name;
  for (const caller::Parameter& parameter : aRequest.parameters_) {
    name = parameter.name_ == "application_name" ? parameter.value_ : name;
  }
  const caller::CancelKey key{ static_cast<std::uint32_t>(aSession.Number()),
                               random_() };
  const auto worker = std::make_shared<Worker>(
    *this, aSession, key, countsTowardLimit, std::move(name));
  {
    const std::lock_guard lock(mutex_);
    workers_.emplace(aSession.Number(), worker);
  }
  worker->Start();
}

std::shared_ptr<Worker>
StandinServer::Find(std::uint64_t aNumber)
{
  const std::lock_guard lock(mutex_);
  const auto found = workers_.find(aNumber);
  return found == workers_.end() ? nullptr : found->second;
}

void
StandinServer::OnQuery(caller::CallerSession& aSession, std::string_view aSql)
{
  if (const auto worker = Find(aSession.Number())) {
    worker->OnQuery(aSql);
  }
}

void
StandinServer::OnCancel(const caller::CancelKey& aKey)
{
  const auto worker = Find(aKey.processId_);
  if (worker && worker->Key() == aKey) {
    worker->Cancel();
  }
}

void
StandinServer::OnDrained(caller::CallerSession& aSession)
{
  if (const auto worker = Find(aSession.Number())) {
    worker->OnDrained();
  }
}

void
StandinServer::OnClosed(caller::CallerSession& aSession)
{
  if (const auto worker = Find(aSession.Number())) {
    worker->OnClosed();
  }
  const std::lock_guard lock(mutex_);
  workers_.erase(aSession.Number());
}

void
StandinServer::ExecuteOnOthers(const Worker& aWorker, SessionCommand aCommand)
{
  const std::lock_guard lock(mutex_);
  for (const auto& [number, worker] : workers_) {
    if (worker.get() != &aWorker && worker->CountsTowardLimit()) {
      worker->Execute(aCommand);
    }
  }
}

std::uint64_t
StandinServer::EndSessions(const Worker& aWorker, const SessionMatch& aMatch)
{
  std::uint64_t ended = 0;
  const std::lock_guard lock(mutex_);
  for (const auto& [number, worker] : workers_) {
    const bool matches =
      aMatch.number_ == number ||
      (aMatch.number_ == 0 && worker->IsOpenFor(aMatch.age_));
    if (matches && worker.get() != &aWorker && worker->Name() == aMatch.name_) {
      worker->Execute(SessionCommand::Disconnect);
      ++ended;
    }
  }
  return ended;
}

} // namespace wigeonlb::testing::standin
