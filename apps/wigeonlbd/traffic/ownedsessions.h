#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <boost/intrusive/list.hpp>

#include "core/traffic/actions.h"
#include "core/traffic/events.h"
#include "core/traffic/trafficstate.h"
#include "forward.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::traffic {

//! Identifies a session in the whole system: its entry host, the boot number of
//! that host and the session number on it.
using SessionKey = std::tuple<foundation::HostId, std::uint64_t, std::uint64_t>;

//! How long a session without a running request and a transaction is kept, so
//! that requests which arrive late are known as such.
inline constexpr foundation::Duration kIdleSessionLifetimeMs =
  std::chrono::milliseconds(10000);

//! A session of an entry host that has used this owner.
struct OwnedSession
{
  SessionKey key_;
  core::traffic::SessionId id_ = 0;
  wire::ForwardRequest request_; //!< current or last request
  foundation::Instant arrivedAt_;
  bool running_ = false;
  //! Number of the request that began the session's transaction; 0 for none.
  std::uint64_t transaction_ = 0;
  //! The session's transaction when the request arrived.
  std::optional<core::traffic::SessionTransaction> openTransaction_;
  std::string heldEnd_; //!< end of the target's answer, held until Finish
  std::uint64_t passedBytes_ = 0;
  std::uint64_t consumedBytes_ = 0;
  std::uint64_t nextPiece_ = 0;
  core::traffic::ConnectionId pausedConnection_ = 0;
  foundation::Instant lastUsedAt_;
  //! Link in the list of idle sessions.
  boost::intrusive::list_member_hook<
    boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
    idleHook_;
};

//! The sessions that have used one owner group.
class OwnedSessions
{
public:
  //! Returns the session with this key, and creates it if there is none.
  OwnedSession& GetOrCreate(const SessionKey& aKey);
  OwnedSession* Find(const SessionKey& aKey);
  //! Returns the session in which this request runs; null if it has ended or
  //! was replaced by a later one.
  OwnedSession* FindRunning(const core::traffic::RequestId& aRequest);
  //! A request of the session began or ended, or the session was closed. Erases
  //! sessions that have been idle for kIdleSessionLifetimeMs.
  void OnUsed(OwnedSession& aSession, foundation::Instant aNow);
  //! Closes the session's requests up to a number, 0 for all of them. Returns
  //! false, without a change, if a later one has arrived.
  bool Close(OwnedSession& aSession,
             std::uint64_t aRequest,
             foundation::Instant aNow);

  //! Keys of the sessions of a host, except those of its boot aKeepBoot.
  std::vector<SessionKey> FindKeys(const foundation::HostId& aHost,
                                   std::uint64_t aKeepBoot) const;

  //! Keys of the sessions of a host with a running request or an open
  //! transaction.
  std::vector<SessionKey> FindUsedKeys(const foundation::HostId& aHost) const;

  //! Whether the request continues a transaction that is open here.
  bool ContinuesTransaction(const SessionKey& aKey,
                            const wire::ForwardRequest& aRequest) const;
  //! Number of sessions with a running request or an open transaction.
  std::size_t RunningCount() const;

private:
  using IdleList = boost::intrusive::list<
    OwnedSession,
    boost::intrusive::member_hook<OwnedSession,
                                  decltype(OwnedSession::idleHook_),
                                  &OwnedSession::idleHook_>,
    boost::intrusive::constant_time_size<false>>;

  void Erase(const SessionKey& aKey);

  std::map<SessionKey, OwnedSession> sessions_;
  IdleList idle_; //!< the longest idle first
  std::map<core::traffic::SessionId, SessionKey> keys_;
  core::traffic::SessionId nextId_ = 1;
};

//! Starts a request of a session, in place of an earlier one that is running:
//! its entry host has given that one up. Returns false, without a change, if
//! the request is late or a duplicate.
bool
BeginRequest(OwnedSession& aSession, wire::ForwardRequest&& aRequest);

//! Ends the current request, after which the session has this transaction
//! status.
void
EndRequest(OwnedSession& aSession, char aTransactionStatus);

//! Builds the core event for the session's current request, arriving now.
core::traffic::RequestArrived
MakeArrival(const OwnedSession& aSession, foundation::Instant aNow);

//! Builds the message that ends a request's answer at its entry host. Moves the
//! held end of the target's answer out of the session.
wire::ForwardEnd
MakeEnd(OwnedSession& aSession, const core::traffic::Finish& aFinish);

} // namespace wigeonlb::daemon::traffic
