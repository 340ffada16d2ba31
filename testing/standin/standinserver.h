#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <random>

#include "caller/callersession.h"
#include "testing/standin/state.h"
#include "testing/standin/worker.h"

namespace wigeonlb::testing::standin {

//! User name by which a replica connects to pull; not counted as a connection.
inline constexpr std::string_view kReplicationUser = "standin_replication";

//! The sessions of a stand-in.
class StandinServer : public caller::CallerObserver
{
public:
  explicit StandinServer(State& aState);

  void OnStartup(caller::CallerSession& aSession,
                 const caller::StartupRequest& aRequest) override;
  void OnQuery(caller::CallerSession& aSession, std::string_view aSql) override;
  void OnCancel(const caller::CancelKey& aKey) override;
  void OnDrained(caller::CallerSession& aSession) override;
  void OnClosed(caller::CallerSession& aSession) override;

  State& GetState() { return state_; }

  //! Carries out an order for every counted session but the worker's own.
  void ExecuteOnOthers(const Worker& aWorker, SessionCommand aCommand);

  //! Ends the matching sessions but the worker's own; returns how many.
  std::uint64_t EndSessions(const Worker& aWorker, const SessionMatch& aMatch);

private:
  std::shared_ptr<Worker> Find(std::uint64_t aNumber);

  State& state_;
  std::mutex mutex_;
  std::map<std::uint64_t, std::shared_ptr<Worker>> workers_; //!< by session
  std::random_device random_;
};

} // namespace wigeonlb::testing::standin
