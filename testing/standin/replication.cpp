#include "testing/standin/replication.h"

#include <cstdlib>
#include <memory>
#include <thread>

#include <libpq-fe.h>

#include "testing/standin/standinserver.h"

namespace wigeonlb::testing::standin {

namespace {

using ConnectionPointer = std::unique_ptr<PGconn, decltype(&PQfinish)>;
using ResultPointer = std::unique_ptr<PGresult, decltype(&PQclear)>;

constexpr std::chrono::milliseconds kRetryMs(20);

ConnectionPointer
Connect(const std::string& aPeer)
{
  const std::size_t colon = aPeer.rfind(':');
  const std::string text =
    "host=" + aPeer.substr(0, colon) + " port=" + aPeer.substr(colon + 1) +
    " user=" + std::string(kReplicationUser) +
    " dbname=log connect_timeout=2 sslmode=disable gssencmode=disable";
  return { PQconnectdb(text.c_str()), &PQfinish };
}

std::uint64_t
Number(const PGresult& aResult, int aRow, int aColumn)
{
  constexpr int kDecimal = 10;
  return std::strtoull(PQgetvalue(&aResult, aRow, aColumn), nullptr, kDecimal);
}

PullReply
ReadReply(const PGresult& aResult)
{
  PullReply reply;
  reply.primary_ = Number(aResult, 0, 0) == 1;
  reply.term_ = Number(aResult, 0, 1);
  reply.prefix_ = Number(aResult, 0, 2) == 1;
  for (int row = 1; row < PQntuples(&aResult); ++row) {
    LogEntry entry;
    entry.endOffset_ = Number(aResult, row, 0);
    entry.term_ = Number(aResult, row, 1);
    entry.digest_ = Number(aResult, row, 2);
    constexpr int kScriptColumn = 3;
    entry.script_.assign(
      PQgetvalue(&aResult, row, kScriptColumn),
      static_cast<std::size_t>(PQgetlength(&aResult, row, kScriptColumn)));
    reply.entries_.push_back(std::move(entry));
  }
  return reply;
}

// Returns false if there is no reason to pull from this peer again at once.
bool
PullOnce(State& aState, PGconn& aConnection)
{
  const PullRequest request = aState.MakePullRequest();
  const std::string sql = "SELECT standin_pull(" +
                          std::to_string(request.offset_) + "," +
                          std::to_string(request.digest_) + ")";
  const ResultPointer result(PQexec(&aConnection, sql.c_str()), &PQclear);
  if (PQresultStatus(result.get()) != PGRES_TUPLES_OK) {
    return false;
  }
  PullReply reply = ReadReply(*result);
  const bool peerIsPrimary = reply.primary_;
  aState.HandlePullReply(request, std::move(reply));
  return peerIsPrimary && !aState.IsPrimary() && !aState.GetStatus().diverged_;
}

} // namespace

void
PullFromPeer(State& aState, const std::string& aPeer)
{
  while (true) {
    const ConnectionPointer connection = Connect(aPeer);
    while (PQstatus(connection.get()) == CONNECTION_OK) {
      if (!PullOnce(aState, *connection)) {
        std::this_thread::sleep_for(kRetryMs);
      }
    }
    std::this_thread::sleep_for(kRetryMs);
  }
}

} // namespace wigeonlb::testing::standin
