#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "core/traffic/actions.h"
#include "core/traffic/events.h"
#include "forward.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::traffic {

//! Names a session in the whole system: its entry host, that host's boot, and
//! the number that the host gave it.
using SessionKey = std::tuple<foundation::HostId, std::uint64_t, std::uint64_t>;

//! A session of some entry host that has used this owner.
struct OwnedSession
{
  SessionKey key_;
  core::traffic::SessionId id_ = 0;
  wire::ForwardRequest request_; //!< the present or last one
  foundation::Instant arrivedAt_;
  bool running_ = false;
  bool inTransaction_ = false;
  std::string heldEnd_; //!< end of the target's answer, until Finish
  std::uint64_t passedBytes_ = 0;
  std::uint64_t consumedBytes_ = 0;
  std::uint64_t nextPiece_ = 0;
  core::traffic::ConnectionId pausedConnection_ = 0;
};

//! The sessions that have used one owner group.
class OwnedSessions
{
public:
  //! The session of that key, made when it is new.
  OwnedSession& Take(const SessionKey& aKey);
  OwnedSession* Find(const SessionKey& aKey);
  OwnedSession* Find(core::traffic::SessionId aId);
  void Erase(const SessionKey& aKey);

  //! Sessions of a host's boots other than aKeepBoot.
  std::vector<SessionKey> KeysOf(const foundation::HostId& aHost,
                                 std::uint64_t aKeepBoot) const;

  bool InTransaction(const SessionKey& aKey) const;
  //! Requests that run and transactions that are open.
  std::size_t RunningCount() const;

private:
  std::map<SessionKey, OwnedSession> sessions_;
  std::map<core::traffic::SessionId, SessionKey> keys_;
  core::traffic::SessionId nextId_ = 1;
};

//! Makes a session ready for a request, which is moved in. Returns false for
//! one that is late or repeated.
bool
BeginRequest(OwnedSession& aSession, wire::ForwardRequest&& aRequest);

//! The session's present request, as it reaches the core now.
core::traffic::RequestArrived
MakeArrival(const OwnedSession& aSession, foundation::Instant aNow);

//! The end of a request's answer for its entry host. Takes the held end of the
//! target's answer out of the session.
wire::ForwardEnd
MakeEnd(OwnedSession& aSession, const core::traffic::Finish& aFinish);

} // namespace wigeonlb::daemon::traffic
