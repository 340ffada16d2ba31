#pragma once

#include <optional>
#include <string>
#include <vector>

#include "caller/protocol.h"
#include "core/traffic/events.h"
#include "foundation/identifiers.h"
#include "target/targetconnection.h"
#include "traffic/connectionstate.h"
#include "traffic/keyedrequest.h"

namespace wigeonlb::daemon::traffic {

class GroupConnection;

//! Receives the events of group connections. All calls come from the event
//! loop, never from within a method of the connection.
class GroupConnectionObserver
{
public:
  virtual ~GroupConnectionObserver() = default;

  virtual void OnConnectionOpened(GroupConnection& aConnection) = 0;
  //! The connection was lost or could not be opened. No further call follows.
  virtual void OnConnectionLost(GroupConnection& aConnection,
                                const std::string& aDetail) = 0;
  //! The status of the target, from a status statement or from a status probe
  //! before a caller's statement.
  virtual void OnStatusRead(GroupConnection& aConnection,
                            const wire::TargetReport& aReport) = 0;
  //! Frames of the callers' protocol to pass on to the caller.
  virtual void OnFrames(GroupConnection& aConnection, std::string aFrames) = 0;
  //! The answer is complete. aHeldEnd contains the frames that were held back:
  //! the last rows, and the last command's completion or the target's error.
  //! aPosition is the end of the target's log, if the target reported it.
  virtual void OnStatementEnd(
    GroupConnection& aConnection,
    const target::SqlError& aError,
    char aTransactionStatus,
    const std::optional<foundation::LogPosition>& aPosition,
    std::string aHeldEnd) = 0;
};

//! The protocols of callers and of targets.
struct OwnerProtocols
{
  const caller::Protocol* callers_ = &caller::PostgresqlProtocol();
  const target::Protocol* targets_ = &target::PostgresqlProtocol();
};

//! A connection to one target of a group. Runs callers' statements, optionally
//! with a status probe before them, or status statements alone, and converts
//! answers to frames of the callers' protocol.
class GroupConnection : private target::TargetObserver
{
public:
  //! The exchange that is in progress.
  enum class Task
  {
    None,
    Status,
    Statement,
    StatementWithProbe
  };

  GroupConnection(boost::asio::io_context& aContext,
                  GroupConnectionObserver& aObserver,
                  core::traffic::ConnectionId aId,
                  foundation::TargetName aTarget,
                  const target::Dialect& aDialect,
                  const OwnerProtocols& aProtocols);
  ~GroupConnection() override;

  void Open(const target::TargetAddress& aAddress,
            foundation::Duration aTimeout);
  void Close();

  //! Queries the target's status and then runs aFollowing, in one message. Rows
  //! of aFollowing are dropped, and its error is only available from Error.
  //! Returns false if the connection can't accept a statement; OnConnectionLost
  //! follows.
  bool ReadStatus(const std::string& aFollowing = {});

  //! Options for what is sent before a caller's statement, in the same message.
  struct Preamble
  {
    //! Query the target's status; rows are held back until Accept.
    bool probe_ = false;
    //! Make the target refuse writes, with SQLSTATE 25006.
    bool readOnly_ = false;
    //! Query whether the open transaction has written, for HasWritten.
    bool checkHasWritten_ = false;
    //! Set if the request has a key. Nothing else is then sent before the
    //! statement.
    std::optional<KeyedRequest> keyed_ = std::nullopt;
    //! Make the target refuse the statement unless its log has reached this.
    foundation::LogPosition floor_ = {};
  };

  //! Runs a caller's statement.
  bool Run(const core::traffic::RequestId& aRequest,
           const wire::ForwardRequest& aStatement,
           const Preamble& aPreamble);

  //! Passes rows on from now on, after those that were held back.
  void Accept();
  //! Discards the rest of the answer. OnStatementEnd is still called.
  void Drop();
  void Pause();
  void Resume();
  void Cancel();

  core::traffic::ConnectionId Id() const { return id_; }
  const foundation::TargetName& Target() const { return target_; }
  const core::traffic::RequestId& Request() const { return request_; }
  bool PassedRows() const { return passedRows_; }
  //! Whether the transaction had written before its last statement. Empty if
  //! this was not queried or the target's dialect has no such query.
  std::optional<bool> HasWritten() const { return hasWritten_; }
  //! Whether the last request was not run because it had already run under its
  //! key.
  bool AlreadyDone() const { return alreadyDone_; }
  bool IsOpen() const { return connection_->IsOpen(); }
  core::traffic::BackendId GetBackendId() const
  {
    return connection_->GetBackendId();
  }
  //! The target's error in the last answer. Its SQLSTATE is empty if there was
  //! no error.
  const target::SqlError& Error() const { return error_; }
  //! Whether the connection was ever opened; stays true after it is lost.
  bool WasOpened() const { return opened_; }

private:
  void OnOpened(target::TargetConnection& aConnection) override;
  void OnLost(target::TargetConnection& aConnection,
              std::error_code aError,
              const std::string& aDetail) override;
  void OnColumns(target::TargetConnection& aConnection,
                 std::size_t aIndex,
                 const std::vector<target::Column>& aColumns) override;
  void OnRow(target::TargetConnection& aConnection,
             std::size_t aIndex,
             std::span<const target::Field> aRow) override;
  void OnComplete(target::TargetConnection& aConnection,
                  std::size_t aIndex,
                  std::string_view aTag) override;
  void OnSqlError(target::TargetConnection& aConnection,
                  const target::SqlError& aError) override;
  void OnIdle(target::TargetConnection& aConnection,
              char aStatus,
              const std::optional<foundation::LogPosition>& aPosition) override;

  bool IsStatusResult(std::size_t aIndex) const;
  //! Whether a result belongs to a statement that this host added, rather than
  //! to the caller's statement.
  bool IsOwnResult(std::size_t aIndex) const;
  void Begin(Task aTask);
  bool RunKeyed(const KeyedRequest& aRequest, const std::string& aStatement);
  bool ContinueKeyed(char aStatus);
  void ReleaseHeldEnd();
  void FlushFrames(std::size_t aThresholdBytes);
  void Abandon(const std::string& aDetail);

  GroupConnectionObserver& observer_;
  core::traffic::ConnectionId id_;
  foundation::TargetName target_;
  const target::Dialect& dialect_;
  const caller::Protocol& callers_;
  ConnectionState state_;
  target::TargetConnectionPointer connection_;
  Task task_ = Task::None;
  std::size_t preambleResults_ = 0; //!< number of results before the status
  core::traffic::RequestId request_;
  bool opened_ = false;
  bool accepted_ = false;
  bool dropped_ = false;
  bool passedRows_ = false;
  bool pausedByOwner_ = false;
  std::optional<wire::TargetReport> status_;
  std::optional<bool> hasWritten_;
  std::optional<KeyedRun> keyed_;
  bool alreadyDone_ = false;
  std::string frames_;
  std::string heldEnd_;
  target::SqlError error_;
};

} // namespace wigeonlb::daemon::traffic
