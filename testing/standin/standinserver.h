#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <random>

#include "caller/callersession.h"
#include "testing/standin/state.h"
#include "testing/standin/worker.h"

namespace wigeonlb::testing::standin {

//! User name with which a replica connects to pull the log. Such connections
//! do not count toward the connection limit.
inline constexpr std::string_view kReplicationUser = "standin_replication";

//! Manages the sessions of a stand-in server.
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

  //! Executes a command on every session except that of aWorker and those of
  //! replicas.
  void ExecuteOnOthers(const Worker& aWorker, SessionCommand aCommand);

  //! Ends the matching sessions except that of aWorker; returns their number.
  std::uint64_t EndSessions(const Worker& aWorker, const SessionMatch& aMatch);

private:
  std::shared_ptr<Worker> Find(std::uint64_t aNumber);

  State& state_;
  std::mutex mutex_;
  std::map<std::uint64_t, std::shared_ptr<Worker>>
    workers_; //!< by session number
  std::random_device random_;
};

} // namespace wigeonlb::testing::standin
