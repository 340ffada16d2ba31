#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "caller/callersession.h"
#include "core/classification/classificationcache.h"
#include "forward.pb.h"
#include "foundation/clock.h"
#include "peer/peerlinks.h"
#include "traffic/closenotifier.h"
#include "traffic/forwardport.h"
#include "traffic/requestlog.h"
#include "traffic/routingtable.h"
#include "traffic/sessionsettings.h"
#include "traffic/trafficmetrics.h"

namespace wigeonlb::daemon::traffic {

//! State that is shared by the entry sessions of one traffic thread.
struct EntryContext
{
  foundation::HostId host_;
  std::uint64_t boot_ = 0;
  foundation::DataCentre dataCentre_;
  foundation::Duration statementDeadline_{ 0 };
  //! A host that has not responded for this long is lost.
  foundation::Duration hostLostAfter_ = peer::kLostAfterMs;
  ForwardPort* port_ = nullptr;
  CloseNotifier* closes_ = nullptr;
  const caller::Protocol* protocol_ = &caller::PostgresqlProtocol();
  core::classification::ClassificationCache* cache_ = nullptr;
  TrafficMetrics* metrics_ = nullptr;
  RequestLog* log_ = nullptr; //!< null: requests are not logged
  RoutingTablePointer routes_;
};

//! Formats the detail text of an error that a caller may retry after a delay.
std::string
FormatRetryDelay(foundation::Duration aRetryAfter);

//! The session of one caller at its entry host. Classifies statements, keeps
//! the session's floors (the minimum log position per group that its reads must
//! see), forwards requests to an owner of the group and passes the answers to
//! the caller. Used on one traffic thread only.
class EntrySession
{
public:
  //! aNumber must be unique on this host.
  EntrySession(EntryContext& aContext,
               caller::CallerSession& aCaller,
               std::uint64_t aNumber);
  ~EntrySession();
  EntrySession(const EntrySession&) = delete;
  EntrySession& operator=(const EntrySession&) = delete;

  //! Accepts or refuses the session.
  void Start(const caller::StartupRequest& aRequest,
             const caller::CancelKey& aKey);

  void OnQuery(std::string_view aSql);
  void OnCancel();
  void OnDrained();
  void OnClosed();
  void OnFrames(wire::ForwardFrames aFrames);
  //! aOwnerBoot is the start of the owner that has answered.
  void OnEnd(wire::ForwardEnd aEnd, std::uint64_t aOwnerBoot);
  void OnHostLost(const foundation::HostId& aHost);
  //! This host stops before the request in progress is answered.
  void OnHostStops();
  //! The host has started again; aBoot is its present start. What only its
  //! former start can know is lost.
  void OnHostRestarted(const foundation::HostId& aHost, std::uint64_t aBoot);
  //! The present start of the owner tells whether it knows the request.
  void OnChecked(const wire::ForwardChecked& aChecked);

  const caller::CancelKey& Key() const { return key_; }
  const foundation::GroupName& Group() const { return group_; }
  const std::string& Database() const { return database_; }
  const foundation::Tenant& TenantName() const { return tenant_; }
  bool InTransaction() const { return !transactionOwner_.empty(); }
  bool Waiting() const { return waiting_; }
  const std::string& Address() const { return caller_->RemoteAddress(); }
  const core::session::SessionFloors& Floors() const
  {
    return settings_.floors_;
  }

private:
  //! An error that this host sends on its own, rather than one from a target.
  struct LocalError
  {
    std::string_view sqlstate_;
    std::string message_;
    std::string detail_;
  };
  //! The result of a request, for metrics and the log.
  struct RequestResult
  {
    wire::Outcome outcome_ = wire::OUTCOME_DONE;
    bool byReplica_ = false;
    std::string_view sqlstate_; //!< empty if a target answered
    std::string_view reason_;
    std::string_view target_;
  };

  void AnswerSetting(const core::classification::ProxySetting& aSetting);
  //! Applies the effect of a statement on the session's state. Returns true if
  //! the statement was answered by this host and needs no owner.
  bool HandleSessionEffect(const core::classification::SessionEffect& aEffect);
  void AnswerDone(std::string_view aTag);
  void SendRequest(const core::classification::Classification& aClass,
                   std::string_view aSql);
  //! Sets the request's statement, session values and prepared statement.
  //! Returns false, with the error sent, if there is no such prepared
  //! statement.
  bool AddStatement(const core::classification::Classification& aClass,
                    std::string_view aSql);
  void AddReadBounds(const GroupRoute& aRoute);
  const DatabaseRoute* FindDatabase() const;
  //! The group of the database, or that of the open transaction; null if it
  //! does not exist.
  const GroupRoute* Route() const;
  foundation::Duration GetStatementTimeout(const GroupRoute& aRoute) const;
  void DispatchRequest();
  bool TryOwner(const foundation::HostId& aOwner);
  void OnTimeout(const std::string& aReason);
  //! Ends the request in progress, also at its owner, without its outcome.
  void GiveUpRequest(const std::string& aReason);
  void AbandonRequest(const LocalError& aLocalError);
  void SendError(const LocalError& aLocalError);
  void FailLocally(const LocalError& aLocalError);
  void FinishAnswer(char aStatus, std::uint64_t aOwnerBoot = 0);
  void AnswerOutcome(const wire::ForwardEnd& aEnd, std::uint64_t aOwnerBoot);
  //! Ends the request in progress at this time if it is not answered by then.
  void SetTimeout(foundation::Instant aAt, const std::string& aReason);
  //! Asks the owner whether it knows the request in progress.
  void CheckRequest();
  void RaiseSessionFloor(const wire::LogPosition& aPosition);
  void SendCredit();
  SessionAtOwner GetSessionAt(const foundation::HostId& aOwner) const;
  //! Tells the owner that its requests of this session are given up.
  void GiveUpAt(const foundation::HostId& aOwner);
  foundation::Duration GetRemainingTime() const;
  bool IsRead() const;
  bool HasNoEffect() const;
  std::string_view GetOwnerLostSqlstate() const;
  void Record(const RequestResult& aResult);
  //! Logs a decision about the current request.
  void Log(RequestEvent aEvent, const RequestResult& aResult);
  //! Sets the organisation of the caller by its key, if there are
  //! organisations. Returns the error if it can't be identified, but has to be.
  std::optional<LocalError> IdentifyCaller();
  //! The error for a name that has no route at present.
  LocalError MakeNameError(NameVerdict aVerdict) const;
  //! The error when this host's configuration is missing or too old to decide.
  LocalError MakeOutdatedError(NameVerdict aVerdict) const;
  //! Logs a refusal of the session's name with the configuration by which it
  //! was decided.
  void LogRefusal(const LocalError& aError, foundation::Instant aNow);

  EntryContext& context_;
  boost::intrusive_ptr<caller::CallerSession> caller_;
  std::uint64_t number_;
  caller::CancelKey key_;
  std::string database_; //!< name that the caller connected to
  //! Group of the open transaction, else of the current or last statement.
  foundation::GroupName group_;
  foundation::Tenant tenant_;
  //! Digest of the key that the caller has sent, which may be just a user name.
  //! The key itself is not kept.
  std::string keyDigest_;
  SessionSettings settings_;
  std::map<std::string, std::string> values_; //!< set by the caller
  std::map<std::string, core::classification::Prepare, std::less<>> prepared_;

  // The request in progress, or the last one.
  wire::ForwardRequest request_;
  bool waiting_ = false;
  foundation::HostId owner_; //!< that received the last attempt
  std::size_t nextOwner_ = 0;
  std::string refusal_; //!< message of the last owner that refused, if any
  foundation::Instant startedAt_;
  foundation::Instant sentAt_; //!< the last attempt
  foundation::Instant deadlineAt_;
  std::uint64_t receivedPieces_ = 0;
  std::uint64_t receivedBytes_ = 0;
  std::uint64_t creditedBytes_ = 0;
  boost::asio::steady_timer deadlineTimer_;

  //! Owner of the open transaction; empty outside a transaction.
  foundation::HostId transactionOwner_;
  //! The start of that owner in which the transaction was begun.
  std::uint64_t transactionOwnerBoot_ = 0;
  //! Number of the request that began the open transaction; 0 outside one.
  std::uint64_t transaction_ = 0;
  //! The owner of the open transaction was lost between two statements.
  bool transactionLost_ = false;
  caller::TransactionStatus status_ = caller::TransactionStatus::Idle;
  std::vector<SessionAtOwner> usedOwners_;
};

} // namespace wigeonlb::daemon::traffic
