#include "testing/loadclient/pgrequest.h"

#include <string_view>

#include <poll.h>

namespace wigeonlb::testing::loadclient {

namespace {

using foundation::Duration;
using foundation::Instant;
using foundation::SteadyNow;

// Waits until the socket is ready. Returns false at the deadline.
bool
WaitForSocket(const PGconn& aConnection, short aEvents, Instant aDeadline)
{
  const auto remainingMs = foundation::ToMilliseconds(aDeadline - SteadyNow());
  pollfd descriptor{ PQsocket(&aConnection), aEvents, 0 };
  return remainingMs > 0 &&
         poll(&descriptor, 1, static_cast<int>(remainingMs)) > 0;
}

// The last FATAL error that was received while no query was in progress, and
// its connection. libpq passes such an error to the notice receiver, and later
// reports only that the connection was closed.
struct IdleFatal
{
  const void* connection_ = nullptr;
  std::string sqlstate_;
};
thread_local IdleFatal gIdleFatal;

void
OnNotice(void* aConnection, const PGresult* aNotice)
{
  const char* const sqlstate = PQresultErrorField(aNotice, PG_DIAG_SQLSTATE);
  const char* const severity =
    PQresultErrorField(aNotice, PG_DIAG_SEVERITY_NONLOCALIZED);
  const char* const severityText =
    severity != nullptr ? severity
                        : PQresultErrorField(aNotice, PG_DIAG_SEVERITY);
  if (sqlstate != nullptr && severityText != nullptr &&
      std::string_view(severityText) == "FATAL") {
    gIdleFatal = { aConnection, sqlstate };
  }
}

harness::QueryResult
MakeConnectionLost(const PGconn& aConnection, const char* aMessage)
{
  const bool hasReason = gIdleFatal.connection_ == &aConnection;
  return { hasReason ? gIdleFatal.sqlstate_ : "08006", aMessage, {}, {} };
}

} // namespace

harness::PgConnection
ConnectWithTimeout(const std::string& aAddress,
                   const std::string& aGroup,
                   const std::string& aExtraOptions,
                   Duration aTimeout)
{
  const Instant deadline = SteadyNow() + aTimeout;
  const std::string text =
    harness::ConnectionString(aAddress, aGroup, aExtraOptions);
  harness::PgConnection connection(PQconnectStart(text.c_str()), &PQfinish);
  auto state = PGRES_POLLING_WRITING;
  while (state == PGRES_POLLING_READING || state == PGRES_POLLING_WRITING) {
    const short events = state == PGRES_POLLING_READING ? POLLIN : POLLOUT;
    if (!WaitForSocket(*connection, events, deadline)) {
      break;
    }
    state = PQconnectPoll(connection.get());
  }
  gIdleFatal = {};
  PQsetNoticeReceiver(connection.get(), OnNotice, connection.get());
  return connection;
}

harness::QueryResult
RunWithTimeout(PGconn& aConnection, const std::string& aSql, Duration aTimeout)
{
  const Instant deadline = SteadyNow() + aTimeout;
  if (PQsendQuery(&aConnection, aSql.c_str()) == 0) {
    return MakeConnectionLost(aConnection, PQerrorMessage(&aConnection));
  }
  harness::QueryResult last = MakeConnectionLost(aConnection, "no answer");
  bool failed = false;
  while (true) {
    while (PQisBusy(&aConnection) != 0) {
      if (!WaitForSocket(aConnection, POLLIN, deadline)) {
        return MakeConnectionLost(aConnection, "timeout");
      }
      if (PQconsumeInput(&aConnection) == 0) {
        break;
      }
    }
    const harness::PgResult result(PQgetResult(&aConnection), &PQclear);
    if (!result) {
      return last;
    }
    // The first error is from the server; a later one only reports that the
    // connection was closed.
    if (!failed) {
      last = harness::CopyResult(*result);
      failed = !last.sqlstate_.empty();
      if (last.sqlstate_ == "08006") {
        last = MakeConnectionLost(aConnection, last.message_.c_str());
      }
    }
  }
}

} // namespace wigeonlb::testing::loadclient
