#include "traffic/groupconnection.h"

namespace wigeonlb::daemon::traffic {

namespace {

//! Frames are passed on once at least this many bytes are available.
constexpr std::size_t kMinPieceBytes = 16384;

//! Maximum size of rows held back until Accept; beyond it the socket is not
//! read.
constexpr std::size_t kMaxHeldRowsBytes = 65536;

} // namespace

GroupConnection::GroupConnection(boost::asio::io_context& aContext,
                                 GroupConnectionObserver& aObserver,
                                 core::traffic::ConnectionId aId,
                                 foundation::TargetName aTarget,
                                 const target::Dialect& aDialect,
                                 const OwnerProtocols& aProtocols)
  : observer_(aObserver)
  , id_(aId)
  , target_(std::move(aTarget))
  , dialect_(aDialect)
  , callers_(*aProtocols.callers_)
  , connection_(aProtocols.targets_->connect_(aContext, *this))
{
}

GroupConnection::~GroupConnection()
{
  connection_->Close();
}

void
GroupConnection::Open(const target::TargetAddress& aAddress,
                      foundation::Duration aTimeout)
{
  connection_->Open(aAddress, aTimeout);
}

void
GroupConnection::Close()
{
  connection_->Close();
}

void
GroupConnection::Begin(Task aTask)
{
  task_ = aTask;
  preambleResults_ = 0;
  accepted_ = aTask == Task::Statement;
  dropped_ = false;
  passedRows_ = false;
  pausedByOwner_ = false;
  status_.reset();
  hasWritten_.reset();
  keyed_.reset();
  alreadyDone_ = false;
  frames_.clear();
  heldEnd_.clear();
  error_ = {};
}

bool
GroupConnection::ReadStatus(const std::string& aFollowing)
{
  Begin(Task::Status);
  dropped_ = true;
  std::vector<target::Query> queries{ { std::string(
    dialect_.statusStatement_) } };
  if (!aFollowing.empty()) {
    queries.push_back({ aFollowing });
  }
  return connection_->Send(queries);
}

bool
GroupConnection::Run(const core::traffic::RequestId& aRequest,
                     const wire::ForwardRequest& aStatement,
                     const Preamble& aPreamble)
{
  request_ = aRequest;
  Begin(aPreamble.probe_ ? Task::StatementWithProbe : Task::Statement);
  if (aPreamble.keyed_) {
    return RunKeyed(*aPreamble.keyed_, aStatement.statement());
  }
  std::vector<target::Query> queries =
    BuildSetupQueries(state_, aStatement, dialect_);
  if (aPreamble.readOnly_ && !dialect_.readOnlyStatement_.empty()) {
    queries.push_back({ std::string(dialect_.readOnlyStatement_) });
  }
  if (aPreamble.checkHasWritten_ && !dialect_.hasWrittenStatement_.empty()) {
    queries.push_back({ std::string(dialect_.hasWrittenStatement_) });
  }
  preambleResults_ = queries.size();
  if (aPreamble.probe_) {
    queries.push_back({ std::string(dialect_.statusStatement_) });
  }
  queries.push_back({ target::MakeFloorPrefix(dialect_, aPreamble.floor_) +
                        aStatement.statement(),
                      aStatement.statement_id() });
  return connection_->Send(queries);
}

bool
GroupConnection::RunKeyed(const KeyedRequest& aRequest,
                          const std::string& aStatement)
{
  keyed_ = KeyedRun{ aRequest };
  const target::Query query{ MakeFirstMessage(aRequest, aStatement) };
  return connection_->Send({ &query, 1 });
}

//! Sends the next message of a keyed request. Returns false if the request has
//! ended.
bool
GroupConnection::ContinueKeyed(char aStatus)
{
  const std::string message =
    AdvanceKeyedRun(*keyed_, error_.sqlstate_, aStatus);
  if (!message.empty()) {
    const target::Query query{ message };
    connection_->Send({ &query, 1 });
    return true;
  }
  if (auto end = MakeKeyedEnd(*keyed_)) {
    heldEnd_ = std::move(end->frames_);
    error_ = std::move(end->error_);
    alreadyDone_ = end->alreadyDone_;
  }
  keyed_.reset();
  return false;
}

bool
GroupConnection::IsStatusResult(std::size_t aIndex) const
{
  return aIndex == preambleResults_ &&
         (task_ == Task::Status || task_ == Task::StatementWithProbe);
}

bool
GroupConnection::IsOwnResult(std::size_t aIndex) const
{
  return aIndex < preambleResults_ || IsStatusResult(aIndex) ||
         (keyed_ && traffic::IsOwnResult(*keyed_, aIndex));
}

void
GroupConnection::Accept()
{
  accepted_ = true;
  FlushFrames(1);
  if (!pausedByOwner_) {
    connection_->Resume();
  }
}

void
GroupConnection::Drop()
{
  dropped_ = true;
  frames_.clear();
  heldEnd_.clear();
  connection_->Resume();
}

void
GroupConnection::Pause()
{
  pausedByOwner_ = true;
  connection_->Pause();
}

void
GroupConnection::Resume()
{
  pausedByOwner_ = false;
  connection_->Resume();
}

void
GroupConnection::Cancel()
{
  connection_->Cancel();
}

void
GroupConnection::OnOpened(target::TargetConnection& /*aConnection*/)
{
  opened_ = true;
  observer_.OnConnectionOpened(*this);
}

void
GroupConnection::OnLost(target::TargetConnection& /*aConnection*/,
                        std::error_code aError,
                        const std::string& aDetail)
{
  task_ = Task::None;
  observer_.OnConnectionLost(*this,
                             aDetail.empty() ? aError.message() : aDetail);
}

void
GroupConnection::OnColumns(target::TargetConnection& /*aConnection*/,
                           std::size_t aIndex,
                           const std::vector<target::Column>& aColumns)
{
  if (IsOwnResult(aIndex) || dropped_) {
    return;
  }
  ReleaseHeldEnd();
  std::vector<caller::ColumnDescription> columns;
  columns.reserve(aColumns.size());
  for (const target::Column& column : aColumns) {
    columns.push_back(caller::ColumnDescription{
      column.name_, column.typeOid_, column.typeSize_, column.typeModifier_ });
  }
  callers_.appendColumns_(frames_, columns);
}

void
GroupConnection::OnRow(target::TargetConnection& /*aConnection*/,
                       std::size_t aIndex,
                       std::span<const target::Field> aRow)
{
  if (IsStatusResult(aIndex)) {
    wire::TargetReport report;
    if (!target::ReadStatus(aRow, report)) {
      report.set_target(target_);
      status_ = std::move(report);
    }
    return;
  }
  if (IsOwnResult(aIndex) && keyed_) {
    RecordKeyRow(*keyed_, aRow);
    return;
  }
  if (IsOwnResult(aIndex)) {
    //! NOTE Of the added statements only the query whether the transaction has
    //! written returns rows.
    hasWritten_ = !aRow.empty() && aRow[0] && *aRow[0] == "t";
    return;
  }
  if (dropped_) {
    return;
  }
  callers_.appendRow_(frames_, aRow);
  FlushFrames(kMinPieceBytes);
}

void
GroupConnection::OnComplete(target::TargetConnection& /*aConnection*/,
                            std::size_t aIndex,
                            std::string_view aTag)
{
  if (IsStatusResult(aIndex)) {
    if (!status_) {
      Abandon("the status statement returned no valid status");
      return;
    }
    if (task_ == Task::StatementWithProbe) {
      observer_.OnStatusRead(*this, *status_);
    }
    return;
  }
  if (keyed_) {
    RecordCompletion(*keyed_, aIndex, aTag);
  }
  if (dropped_ || IsOwnResult(aIndex)) {
    return;
  }
  ReleaseHeldEnd();
  if (aTag.empty()) {
    callers_.appendEmpty_(heldEnd_);
  } else {
    callers_.appendComplete_(heldEnd_, aTag);
  }
}

void
GroupConnection::OnSqlError(target::TargetConnection& /*aConnection*/,
                            const target::SqlError& aError)
{
  if (task_ != Task::Statement && !status_) {
    Abandon(aError.message_);
    return;
  }
  if (keyed_ && RecordError(*keyed_, aError.sqlstate_)) {
    return; // the answer depends on the row of the key
  }
  error_ = aError;
  if (dropped_) {
    return;
  }
  if (keyed_ && keyed_->stage_ == KeyedStage::Commit) {
    heldEnd_.clear(); // the statement's completion, which is no longer valid
  }
  ReleaseHeldEnd();
  callers_.appendError_(
    heldEnd_,
    caller::ErrorFields{ aError.severity_.empty() ? "ERROR" : aError.severity_,
                         aError.sqlstate_,
                         aError.message_,
                         aError.detail_,
                         aError.hint_ });
}

void
GroupConnection::OnIdle(target::TargetConnection& /*aConnection*/,
                        char aStatus,
                        const std::optional<foundation::LogPosition>& aPosition)
{
  if (keyed_ && ContinueKeyed(aStatus)) {
    return;
  }
  const Task done = task_;
  task_ = Task::None;
  if (done == Task::Status) {
    if (aPosition) {
      status_->set_applied_offset(aPosition->offset_);
    }
    observer_.OnStatusRead(*this, *status_);
    return;
  }
  if (!dropped_ && accepted_) {
    // The last rows are sent together with the end, in one message.
    frames_ += heldEnd_;
    heldEnd_.swap(frames_);
    frames_.clear();
  }
  observer_.OnStatementEnd(
    *this, error_, aStatus, aPosition, std::move(heldEnd_));
}

//! Called when more of the answer follows: the frames that were held back are
//! not its end.
void
GroupConnection::ReleaseHeldEnd()
{
  frames_ += heldEnd_;
  heldEnd_.clear();
}

void
GroupConnection::FlushFrames(std::size_t aThresholdBytes)
{
  if (!accepted_) {
    if (frames_.size() > kMaxHeldRowsBytes) {
      connection_->Pause();
    }
    return;
  }
  if (frames_.size() < aThresholdBytes) {
    return;
  }
  passedRows_ = true;
  std::string frames;
  frames.swap(frames_);
  observer_.OnFrames(*this, std::move(frames));
}

void
GroupConnection::Abandon(const std::string& aDetail)
{
  task_ = Task::None;
  connection_->Close();
  observer_.OnConnectionLost(*this, aDetail);
}

} // namespace wigeonlb::daemon::traffic
