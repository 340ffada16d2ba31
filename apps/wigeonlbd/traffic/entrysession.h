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
#include "traffic/forwardport.h"
#include "traffic/requestlog.h"
#include "traffic/routingtable.h"
#include "traffic/sessionsettings.h"
#include "traffic/trafficmetrics.h"

namespace wigeonlb::daemon::traffic {

//! What the entry sessions of one traffic thread share.
struct EntryContext
{
  foundation::HostId host_;
  std::uint64_t boot_ = 0;
  foundation::DataCentre dataCentre_;
  foundation::Duration statementDeadline_{ 0 };
  ForwardPort* port_ = nullptr;
  const caller::Protocol* protocol_ = &caller::PostgresqlProtocol();
  core::classification::ClassificationCache* cache_ = nullptr;
  TrafficMetrics* metrics_ = nullptr;
  RequestLog* log_ = nullptr; //!< none: nothing is logged
  RoutingTablePointer routes_;
};

//! When to come back, as callers are told.
std::string
RetryText(foundation::Duration aRetryAfter);

//! One caller's session at its entry host: classifies statements, keeps the
//! session's floors, hands requests to an owner of the group and their answers
//! to the caller. Used on one traffic thread.
class EntrySession
{
public:
  //! aNumber is unique at this host.
  EntrySession(EntryContext& aContext,
               caller::CallerSession& aCaller,
               std::uint64_t aNumber);
  ~EntrySession();
  EntrySession(const EntrySession&) = delete;
  EntrySession& operator=(const EntrySession&) = delete;

  //! Accepts the session or refuses it.
  void Start(const caller::StartupRequest& aRequest,
             const caller::CancelKey& aKey);

  void OnQuery(std::string_view aSql);
  void OnCancel();
  void OnDrained();
  void OnClosed();
  void OnFrames(wire::ForwardFrames aFrames);
  void OnEnd(wire::ForwardEnd aEnd);
  void OnHostLost(const foundation::HostId& aHost);

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
  //! The answer to a request that this host makes up.
  struct Verdict
  {
    std::string_view sqlstate_;
    std::string message_;
    std::string detail_;
  };
  //! How a request ended, for the counters and the log.
  struct Ending
  {
    wire::Outcome outcome_ = wire::OUTCOME_DONE;
    bool byReplica_ = false;
    std::string_view sqlstate_; //!< of an answer that was made up
    std::string_view reason_;
    std::string_view target_;
  };

  void AnswerSetting(const core::classification::ProxySetting& aSetting);
  //! What a statement does to the session's state; true when it was answered
  //! here.
  bool TakeSessionStep(const core::classification::SessionEffect& aStep);
  void AnswerDone(std::string_view aTag);
  void SendRequest(const core::classification::Classification& aClass,
                   std::string_view aSql);
  //! Fills in the statement and what its connection must have.
  bool AddStatement(const core::classification::Classification& aClass,
                    std::string_view aSql);
  void AddReadBounds(const GroupRoute& aRoute);
  const DatabaseRoute* FindDatabase() const;
  //! The group that the database stands for, or null.
  const GroupRoute* Route() const;
  foundation::Duration StatementTime(const GroupRoute& aRoute) const;
  void HandOver();
  bool TryOwner(const foundation::HostId& aOwner);
  void OnDeadline();
  void GiveUp(const Verdict& aVerdict);
  void SendError(const Verdict& aVerdict);
  void FailLocally(const Verdict& aVerdict);
  void FinishAnswer(char aStatus);
  void AnswerOutcome(const wire::ForwardEnd& aEnd);
  void TakePosition(const wire::LogPosition& aPosition);
  void GiveCredit();
  void CloseAt(const foundation::HostId& aOwner);
  foundation::Duration TimeLeft() const;
  bool IsRead() const;
  std::string_view LostSqlstate() const;
  void Record(const Ending& aEnding);
  //! Logs a decision about the present request.
  void Log(RequestEvent aEvent, const Ending& aEnding);

  EntryContext& context_;
  boost::intrusive_ptr<caller::CallerSession> caller_;
  std::uint64_t number_;
  caller::CancelKey key_;
  std::string database_; //!< as the caller named it
  //! Of the open transaction, or of the statement in progress or last.
  foundation::GroupName group_;
  foundation::Tenant tenant_;
  SessionSettings settings_;
  std::map<std::string, std::string> values_; //!< that the caller has set
  std::map<std::string, core::classification::Prepare, std::less<>> prepared_;

  // The request in progress, or the last one.
  wire::ForwardRequest request_;
  bool waiting_ = false;
  foundation::HostId owner_; //!< asked last
  std::size_t nextOwner_ = 0;
  std::string refusal_; //!< message of the owner asked last, if it had one
  foundation::Instant startedAt_;
  foundation::Instant deadlineAt_;
  std::uint64_t piecesSeen_ = 0;
  std::uint64_t receivedBytes_ = 0;
  std::uint64_t creditedBytes_ = 0;
  boost::asio::steady_timer deadlineTimer_;

  //! Owner that runs the open transaction; empty outside one.
  foundation::HostId transactionOwner_;
  bool transactionLost_ = false; //!< its owner was lost while nothing ran
  caller::TransactionStatus status_ = caller::TransactionStatus::Idle;
  std::vector<foundation::HostId> usedOwners_;
};

} // namespace wigeonlb::daemon::traffic
