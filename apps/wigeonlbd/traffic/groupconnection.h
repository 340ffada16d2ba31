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

//! What a group connection tells the owner group. All calls come from the
//! event loop, never from within a method of the connection.
class GroupConnectionUser
{
public:
  virtual ~GroupConnectionUser() = default;

  virtual void OnConnectionOpened(GroupConnection& aConnection) = 0;
  //! The connection is gone; nothing follows.
  virtual void OnConnectionLost(GroupConnection& aConnection,
                                const std::string& aDetail) = 0;
  //! The status of the target, from whichever statement asked for it.
  virtual void OnStatusRead(GroupConnection& aConnection,
                            const wire::TargetReport& aReport) = 0;
  //! Frames of the callers' protocol that may be passed on.
  virtual void OnFrames(GroupConnection& aConnection, std::string aFrames) = 0;
  //! The answer is whole. aHeldEnd holds the frames that were held back: the
  //! last rows, and the last command's completion or the target's error.
  //! aPosition is where the target's log ends, if it told.
  virtual void OnStatementEnd(
    GroupConnection& aConnection,
    const target::SqlError& aError,
    char aTransactionStatus,
    const std::optional<foundation::LogPosition>& aPosition,
    std::string aHeldEnd) = 0;
};

//! The protocols on both sides of an owner.
struct OwnerProtocols
{
  const caller::Protocol* callers_ = &caller::PostgresqlProtocol();
  const target::Protocol* targets_ = &target::PostgresqlProtocol();
};

//! A connection to one target of a group: runs callers' statements with or
//! without a status probe in front, or status statements alone, and turns
//! answers into frames of the callers' protocol.
class GroupConnection : private target::TargetObserver
{
public:
  //! What the connection is doing.
  enum class Task
  {
    None,
    Status,
    Statement,
    StatementWithProbe
  };

  GroupConnection(boost::asio::io_context& aContext,
                  GroupConnectionUser& aUser,
                  core::traffic::ConnectionId aId,
                  foundation::TargetName aTarget,
                  const target::Dialect& aDialect,
                  const OwnerProtocols& aProtocols);
  ~GroupConnection() override;

  void Open(const target::TargetAddress& aAddress,
            foundation::Duration aTimeout);
  void Close();

  //! Asks for the target's status, and then runs what is to follow in the same
  //! message, whose rows and errors are dropped. Returns false when the
  //! connection can't take a statement; OnConnectionLost follows.
  bool ReadStatus(const std::string& aFollowing = {});

  //! What is sent in the same message before a caller's statement.
  struct Preamble
  {
    //! The status; rows are held back until Accept.
    bool probe_ = false;
    //! The target refuses a write with 25006.
    bool readOnly_ = false;
    //! Whether the open transaction has written, for Wrote.
    bool checkHasWritten_ = false;
    //! The request has a key; it then has nothing else in front of it.
    std::optional<KeyedRequest> keyed_ = std::nullopt;
    //! The target refuses the statement unless its log has this.
    foundation::LogPosition floor_ = {};
  };

  //! Runs a caller's statement.
  bool Run(const core::traffic::RequestId& aRequest,
           const wire::ForwardRequest& aStatement,
           const Preamble& aPreamble);

  //! Passes the rows on, those held back first.
  void Accept();
  //! Discards the rest of the answer; its end is still told.
  void Drop();
  void Pause();
  void Resume();
  void Cancel();

  core::traffic::ConnectionId Id() const { return id_; }
  const foundation::TargetName& Target() const { return target_; }
  const core::traffic::RequestId& Request() const { return request_; }
  bool PassedRows() const { return passedRows_; }
  //! Whether the transaction had written before its last statement; empty when
  //! that was not asked, or the target can't tell.
  std::optional<bool> Wrote() const { return wrote_; }
  //! The last request was done before, under its key.
  bool AlreadyDone() const { return alreadyDone_; }
  bool IsOpen() const { return connection_->IsOpen(); }
  core::traffic::BackendId GetBackendId() const
  {
    return connection_->GetBackendId();
  }
  //! The target's error in the last answer; its SQLSTATE is empty without one.
  const target::SqlError& Error() const { return error_; }
  //! True once the connection was opened, also after it was lost.
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
  //! A result of what stands in front of the caller's statement.
  bool IsOwnResult(std::size_t aIndex) const;
  void Begin(Task aTask);
  bool RunKeyed(const KeyedRequest& aRequest, const std::string& aStatement);
  bool ContinueKeyed(char aStatus);
  void ReleaseHeldEnd();
  void PassOn(std::size_t aThresholdBytes);
  void Abandon(const std::string& aDetail);

  GroupConnectionUser& user_;
  core::traffic::ConnectionId id_;
  foundation::TargetName target_;
  const target::Dialect& dialect_;
  const caller::Protocol& callers_;
  ConnectionState state_;
  target::TargetConnectionPointer connection_;
  Task task_ = Task::None;
  std::size_t settings_ = 0; //!< results in front of the status
  core::traffic::RequestId request_;
  bool opened_ = false;
  bool accepted_ = false;
  bool dropped_ = false;
  bool passedRows_ = false;
  bool pausedByUser_ = false;
  std::optional<wire::TargetReport> status_;
  std::optional<bool> wrote_;
  std::optional<KeyedRun> keyed_;
  bool alreadyDone_ = false;
  std::string frames_;
  std::string heldEnd_;
  target::SqlError error_;
};

} // namespace wigeonlb::daemon::traffic
