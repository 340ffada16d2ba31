#include "target/pgconnection.h"

#include <memory>

#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

#include "target/targeterrors.h"

namespace wigeonlb::target {

namespace {

//! read_only_sql_transaction
constexpr std::string_view kReadOnlySqlstate = "25006";

struct ResultDeleter
{
  void operator()(PGresult* aResult) const { PQclear(aResult); }
};
using ResultPointer = std::unique_ptr<PGresult, ResultDeleter>;

std::string
QuoteValue(std::string_view aValue)
{
  std::string quoted = "'";
  for (const char character : aValue) {
    if (character == '\'' || character == '\\') {
      quoted += '\\';
    }
    quoted += character;
  }
  return quoted + "'";
}

std::string
MakeConnectionString(const TargetAddress& aAddress)
{
  const std::size_t colon = aAddress.hostAndPort_.rfind(':');
  return "hostaddr=" + QuoteValue(aAddress.hostAndPort_.substr(0, colon)) +
         " port=" + QuoteValue(aAddress.hostAndPort_.substr(colon + 1)) +
         " user=" + QuoteValue(aAddress.login_.user_) +
         " dbname=" + QuoteValue(aAddress.database_) +
         " application_name=" + QuoteValue(aAddress.login_.applicationName_) +
         " sslmode=disable gssencmode=disable client_encoding=UTF8";
}

std::string
GetErrorField(const PGresult* aResult, int aCode)
{
  const char* const text = PQresultErrorField(aResult, aCode);
  return text == nullptr ? std::string() : std::string(text);
}

std::vector<Column>
ReadColumns(const PGresult* aResult)
{
  std::vector<Column> columns;
  const int count = PQnfields(aResult);
  columns.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    columns.push_back(
      Column{ PQfname(aResult, index),
              PQftype(aResult, index),
              static_cast<std::int16_t>(PQfsize(aResult, index)),
              PQfmod(aResult, index) });
  }
  return columns;
}

std::vector<Field>
ReadRow(const PGresult* aResult, int aRow)
{
  std::vector<Field> fields;
  const int count = PQnfields(aResult);
  fields.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    if (PQgetisnull(aResult, aRow, index) != 0) {
      fields.emplace_back();
      continue;
    }
    fields.emplace_back(std::string_view(
      PQgetvalue(aResult, aRow, index),
      static_cast<std::size_t>(PQgetlength(aResult, aRow, index))));
  }
  return fields;
}

//! PQcancel blocks while it connects, so cancel requests run on a separate
//! thread.
boost::asio::thread_pool&
GetCancelThread()
{
  static boost::asio::thread_pool pool(1);
  return pool;
}

} // namespace

PgConnection::PgConnection(boost::asio::io_context& aContext,
                           TargetObserver& aObserver)
  : context_(aContext)
  , observer_(aObserver)
  , socket_(aContext)
  , connectTimer_(aContext)
{
}

PgConnection::~PgConnection()
{
  Close();
}

void
PgConnection::Open(const TargetAddress& aAddress, foundation::Duration aTimeout)
{
  state_ = State::Connecting;
  connection_ = PQconnectStart(MakeConnectionString(aAddress).c_str());
  if (connection_ == nullptr || PQstatus(connection_) == CONNECTION_BAD) {
    // The observer must not be called from within Open.
    boost::asio::post(context_, [self = Self(this), generation = generation_] {
      if (generation == self->generation_) {
        self->CloseAsLost(TargetError::ConnectFailed);
      }
    });
    return;
  }
  PQsetnonblocking(connection_, 1);
  connectTimer_.expires_after(aTimeout);
  connectTimer_.async_wait([self = Self(this), generation = generation_](
                             const boost::system::error_code& aError) {
    if (!aError && generation == self->generation_ &&
        self->state_ == State::Connecting) {
      self->CloseAsLost(TargetError::ConnectTimedOut);
    }
  });
  AssignSocket();
  WaitForSocket(true);
}

void
PgConnection::PollConnect()
{
  const PostgresPollingStatusType status = PQconnectPoll(connection_);
  AssignSocket();
  switch (status) {
    case PGRES_POLLING_READING:
      WaitForSocket(false);
      return;
    case PGRES_POLLING_WRITING:
      WaitForSocket(true);
      return;
    case PGRES_POLLING_OK:
      connectTimer_.cancel();
      state_ = State::Idle;
      // Registers the socket anew: the reactor has waited for it to become
      // writable while it connected and would report it as writable with every
      // later wait.
      ReleaseSocket();
      AssignSocket();
      // Reads while idle too, to detect a lost connection.
      WaitForSocket(false);
      observer_.OnOpened(*this);
      return;
    default:
      CloseAsLost(TargetError::ConnectFailed);
      return;
  }
}

void
PgConnection::AssignSocket()
{
  const int socket = PQsocket(connection_);
  if (socket_.is_open() && socket_.native_handle() == socket) {
    return;
  }
  ReleaseSocket();
  if (socket >= 0) {
    socket_.assign(socket);
  }
}

void
PgConnection::ReleaseSocket()
{
  if (socket_.is_open()) {
    socket_.release(); // libpq closes it
  }
}

void
PgConnection::WaitForSocket(bool aForWrite)
{
  if (!aForWrite) {
    if (reading_) {
      return;
    }
    reading_ = true;
  }
  const auto kind = aForWrite
                      ? boost::asio::posix::stream_descriptor::wait_write
                      : boost::asio::posix::stream_descriptor::wait_read;
  socket_.async_wait(kind,
                     [self = Self(this), generation = generation_, aForWrite](
                       const boost::system::error_code& aError) {
                       if (generation != self->generation_) {
                         return;
                       }
                       if (!aForWrite) {
                         self->reading_ = false;
                       }
                       if (!aError) {
                         self->OnSocketReady();
                       }
                     });
}

void
PgConnection::OnSocketReady()
{
  if (state_ == State::Connecting) {
    PollConnect();
    return;
  }
  if (state_ == State::Closed) {
    return;
  }
  FlushOutput();
  if (!paused_ && state_ != State::Closed) {
    ReadResults();
  }
}

void
PgConnection::FlushOutput()
{
  const int result = PQflush(connection_);
  if (result < 0) {
    CloseAsLost(TargetError::ConnectionLost);
  } else if (result > 0) {
    WaitForSocket(true);
  }
}

bool
PgConnection::Send(std::span<const Query> aQueries)
{
  std::string statements;
  for (const Query& query : aQueries) {
    statements += statements.empty() ? "" : "; ";
    statements += query.text_;
  }
  if (state_ != State::Idle ||
      PQsendQuery(connection_, statements.c_str()) == 0) {
    CloseAsLost(TargetError::ConnectionLost);
    return false;
  }
  PQsetSingleRowMode(connection_);
  state_ = State::Busy;
  resultIndex_ = 0;
  columnsReported_ = false;
  FlushOutput();
  if (state_ == State::Closed) {
    return false;
  }
  WaitForSocket(false);
  return true;
}

void
PgConnection::ReadResults()
{
  const Self keepAlive(this);
  const std::uint64_t generation = generation_;
  if (PQconsumeInput(connection_) == 0) {
    CloseAsLost(TargetError::ConnectionLost);
    return;
  }
  while (state_ == State::Busy && !paused_ && PQisBusy(connection_) == 0) {
    const ResultPointer result(PQgetResult(connection_));
    if (result == nullptr) {
      state_ = State::Idle;
      const PGTransactionStatusType status = PQtransactionStatus(connection_);
      const char letter = status == PQTRANS_IDLE      ? 'I'
                          : status == PQTRANS_INTRANS ? 'T'
                                                      : 'E';
      if (PQstatus(connection_) == CONNECTION_BAD) {
        CloseAsLost(TargetError::ConnectionLost);
        return;
      }
      WaitForSocket(false);
      observer_.OnIdle(*this, letter, std::nullopt);
      return;
    }
    HandleResult(result.get());
    if (generation != generation_) {
      return;
    }
  }
  if (!paused_ && state_ != State::Closed) {
    WaitForSocket(false);
  }
}

void
PgConnection::HandleResult(PGresult* aResult)
{
  const std::uint64_t generation = generation_;
  const ExecStatusType status = PQresultStatus(aResult);
  if (status == PGRES_SINGLE_TUPLE || status == PGRES_TUPLES_OK) {
    if (!columnsReported_) {
      columnsReported_ = true;
      observer_.OnColumns(*this, resultIndex_, ReadColumns(aResult));
    }
    for (int row = 0; row < PQntuples(aResult) && generation == generation_;
         ++row) {
      observer_.OnRow(*this, resultIndex_, ReadRow(aResult, row));
    }
    if (status == PGRES_SINGLE_TUPLE) {
      return;
    }
  }
  if (generation != generation_) {
    return;
  }
  if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK ||
      status == PGRES_EMPTY_QUERY) {
    columnsReported_ = false;
    observer_.OnComplete(*this, resultIndex_++, PQcmdStatus(aResult));
    return;
  }
  // A broken connection also produces an error result, but without SQLSTATE.
  if (PQstatus(connection_) == CONNECTION_BAD) {
    CloseAsLost(TargetError::ConnectionLost);
    return;
  }
  SqlError error{ GetErrorField(aResult, PG_DIAG_SEVERITY),
                  GetErrorField(aResult, PG_DIAG_SQLSTATE),
                  GetErrorField(aResult, PG_DIAG_MESSAGE_PRIMARY),
                  GetErrorField(aResult, PG_DIAG_MESSAGE_DETAIL),
                  GetErrorField(aResult, PG_DIAG_MESSAGE_HINT) };
  error.refusal_ =
    error.sqlstate_ == kReadOnlySqlstate ? Refusal::ReadOnly : Refusal::None;
  observer_.OnSqlError(*this, error);
}

void
PgConnection::Pause()
{
  paused_ = true;
}

void
PgConnection::Resume()
{
  if (!paused_) {
    return;
  }
  paused_ = false;
  boost::asio::post(context_, [self = Self(this), generation = generation_] {
    if (generation == self->generation_ && !self->paused_ && self->IsOpen()) {
      self->ReadResults();
    }
  });
}

void
PgConnection::Cancel()
{
  if (state_ != State::Busy) {
    return;
  }
  PGcancel* const cancel = PQgetCancel(connection_);
  if (cancel == nullptr) {
    return;
  }
  boost::asio::post(GetCancelThread(), [cancel] {
    char error[256];
    PQcancel(cancel, error, sizeof(error));
    PQfreeCancel(cancel);
  });
}

std::int32_t
PgConnection::GetBackendId() const
{
  return IsOpen() ? PQbackendPID(connection_) : 0;
}

void
PgConnection::CloseAsLost(std::error_code aError)
{
  if (state_ == State::Closed) {
    return;
  }
  const Self keepAlive(this);
  const std::string detail =
    connection_ == nullptr ? "" : PQerrorMessage(connection_);
  Close();
  observer_.OnLost(*this, aError, detail);
}

void
PgConnection::Close()
{
  ++generation_;
  state_ = State::Closed;
  reading_ = false;
  paused_ = false;
  connectTimer_.cancel();
  ReleaseSocket();
  if (connection_ != nullptr) {
    PQfinish(connection_);
    connection_ = nullptr;
  }
}

namespace {

TargetConnectionPointer
Connect(boost::asio::io_context& aContext, TargetObserver& aObserver)
{
  return new PgConnection(aContext, aObserver);
}

const Dialect&
GetDialect(std::string_view aName)
{
  const Dialect* const dialect = FindDialect(aName);
  return dialect == nullptr ? GetDialects().front() : *dialect;
}

constexpr Protocol kPostgresql = { Connect,
                                   GetDialect,
                                   std::chrono::seconds(2) };

} // namespace

const Protocol&
PostgresqlProtocol()
{
  return kPostgresql;
}

} // namespace wigeonlb::target
