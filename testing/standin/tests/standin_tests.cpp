#include <catch2/catch.hpp>

#include <csignal>
#include <fstream>
#include <future>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "http/httprouter.h"
#include "http/httpserver.h"
#include "testing/harness/childprocess.h"
#include "testing/harness/pgclient.h"

namespace wigeonlb::testing::standin {

using harness::ChildProcess;
using harness::Connect;
using harness::Run;
using harness::RunOnce;
using harness::WaitUntil;

namespace {

using Arguments = std::vector<std::string>;

constexpr const char* kStatusQuery = "SELECT * FROM standin_status";

// A stand-in server process.
class Server : public ChildProcess
{
public:
  explicit Server(const Arguments& aExtraArguments)
    : ChildProcess(WithDefaults(aExtraArguments))
  {
    REQUIRE_FALSE(FirstLine().empty());
  }

  std::string Query(const std::string& aSql) const
  {
    return RunOnce(Address(), aSql).Text();
  }
  bool WaitFor(const std::string& aSql, const std::string& aExpected) const
  {
    const bool answered = WaitUntil([&] { return Query(aSql) == aExpected; });
    INFO(aSql << " returned " << Query(aSql));
    CHECK(answered);
    return answered;
  }

private:
  static Arguments WithDefaults(const Arguments& aExtraArguments)
  {
    Arguments all{ WIGEONLB_STANDIN, "--listen", "127.0.0.1:0" };
    all.insert(all.end(), aExtraArguments.begin(), aExtraArguments.end());
    return all;
  }
};

Server
MakePrimary()
{
  return Server({ "--role", "primary" });
}

std::string
GetStatusField(const Server& aServer, std::size_t aColumn)
{
  const auto result = RunOnce(aServer.Address(), kStatusQuery);
  return result.rows_.empty() ? result.sqlstate_ : result.rows_[0][aColumn];
}

harness::QueryResult
GetResult(PGconn& aConnection)
{
  const harness::PgResult result(PQgetResult(&aConnection), &PQclear);
  return harness::CopyResult(*result);
}

bool
SendCancel(PGconn& aConnection)
{
  const std::unique_ptr<PGcancel, decltype(&PQfreeCancel)> cancel(
    PQgetCancel(&aConnection), &PQfreeCancel);
  std::array<char, 256> error{};
  return PQcancel(cancel.get(), error.data(), error.size()) == 1;
}

constexpr std::size_t kSyncedColumn = 2;
constexpr std::size_t kAppliedColumn = 3;

} // namespace

TEST_CASE("a primary answers queries and tracks transactions", "[standin]")
{
  struct Row
  {
    std::vector<std::string> queries_;
    std::vector<std::string> answers_; // of the last query's result sets
    PGTransactionStatusType status_;
  };
  const auto row = GENERATE(values<Row>({
    { { "SELECT 1" }, { "1" }, PQTRANS_IDLE },
    { { "" }, { "" }, PQTRANS_IDLE },
    { { "SELECT * FROM standin_status; SELECT 2" },
      { "t,1,55,55,1,f", "2" },
      PQTRANS_IDLE },
    { { "INSERT INTO t VALUES (3) RETURNING id" }, { "3" }, PQTRANS_IDLE },
    { { "BEGIN", "INSERT INTO t VALUES (3)", "ROLLBACK", "SELECT * FROM t" },
      { "" },
      PQTRANS_IDLE },
    { { "BEGIN", "INSERT INTO t VALUES (3)", "COMMIT", "SELECT * FROM t" },
      { "3" },
      PQTRANS_IDLE },
    { { "BEGIN", "SELECT bad", "SELECT 1" }, { "25P02" }, PQTRANS_INERROR },
    { { "BEGIN",
        "INSERT INTO t VALUES (3)",
        "SELECT bad",
        "COMMIT",
        "SELECT * FROM t" },
      { "" },
      PQTRANS_IDLE },
    { { "INSERT INTO t VALUES (3); SELECT bad", "SELECT * FROM t" },
      { "" },
      PQTRANS_IDLE },
    { { "SELECT 1; SELECT bad; SELECT 2" }, { "1", "42703" }, PQTRANS_IDLE },
    { { "SELECT * FROM none" }, { "42P01" }, PQTRANS_IDLE },
    { { "INSERT INTO t VALUES (3)", "INSERT INTO t VALUES (3)" },
      { "23505" },
      PQTRANS_IDLE },
    { { "BEGIN", "SET x = 'y;z'" }, { "" }, PQTRANS_INTRANS },
    { { "BEGIN", "SELECT standin_wrote()" }, { "f" }, PQTRANS_INTRANS },
    { { "BEGIN", "INSERT INTO t VALUES (3)", "SELECT standin_wrote(); COMMIT" },
      { "t", "" },
      PQTRANS_IDLE },
    { { "SELECT standin_promote(1)" }, { "0" }, PQTRANS_IDLE },
    { { "SELECT standin_none(1)" }, { "42883" }, PQTRANS_IDLE },
    { { "SELECT standin_set('none','1')" }, { "22023" }, PQTRANS_IDLE },
    { { "SELECT 1",
        "SELECT * FROM standin_status",
        "COMMIT",
        "SELECT * FROM standin_stats" },
      { "1,1,0,5,1,3" },
      PQTRANS_IDLE },
  }));
  const Server primary = MakePrimary();
  const auto connection = Connect(primary.Address(), "test");
  std::vector<harness::QueryResult> results;
  Run(*connection, "CREATE TABLE t(id integer PRIMARY KEY)");
  for (const std::string& query : row.queries_) {
    results = harness::RunAll(*connection, query);
  }
  std::vector<std::string> answers;
  answers.reserve(results.size());
  for (const auto& result : results) {
    answers.push_back(result.Text());
  }
  CHECK(answers == row.answers_);
  CHECK(PQtransactionStatus(connection.get()) == row.status_);
}

TEST_CASE("a replica applies entries after its apply delay", "[standin]")
{
  const Server primary = MakePrimary();
  const Server replica(
    { "--peers", primary.Address(), "--apply-delay-ms", "3600000" });
  primary.Query("CREATE TABLE t(id integer)");
  primary.Query("INSERT INTO t VALUES (1)");
  const std::string end = GetStatusField(primary, kSyncedColumn);
  CHECK(
    WaitUntil([&] { return GetStatusField(replica, kSyncedColumn) == end; }));
  CHECK(GetStatusField(replica, kAppliedColumn) == "0");
  CHECK(replica.Query("SELECT * FROM t") == "42P01");
  CHECK(replica.Query("CREATE TABLE u(id integer)") == "25006");
  replica.Query("SELECT standin_set('apply_delay_ms','0')");
  CHECK(
    WaitUntil([&] { return GetStatusField(replica, kAppliedColumn) == end; }));
  CHECK(replica.Query("SELECT * FROM t") == "1");
}

TEST_CASE("log shipping can be stopped and resumed", "[standin]")
{
  const Server primary = MakePrimary();
  const Server replica({ "--peers", primary.Address() });
  primary.Query("SELECT standin_set('ship','off')");
  primary.Query("CREATE TABLE t(id integer)");
  primary.Query("SELECT standin_promote(1)");
  CHECK(GetStatusField(replica, kSyncedColumn) == "0");
  primary.Query("SELECT standin_set('ship','on')");
  CHECK(WaitUntil([&] {
    return GetStatusField(replica, kAppliedColumn) ==
           GetStatusField(primary, kSyncedColumn);
  }));
}

TEST_CASE("replicas follow a promotion and detect a diverged log", "[standin]")
{
  const Server first({ "--role", "primary" });
  const Server second({ "--peers", first.Address() });
  const Server third({ "--peers",
                       first.Address() + "," + second.Address(),
                       "--ship-delay-ms",
                       "3600000" });
  first.Query("CREATE TABLE t(id integer)");
  const std::string start = GetStatusField(first, kSyncedColumn);
  REQUIRE(
    WaitUntil([&] { return GetStatusField(second, kSyncedColumn) == start; }));
  // The old primary commits a write that its replicas never receive.
  first.Query("SELECT standin_set('ship','off')");
  first.Query("INSERT INTO t VALUES (1)");

  CHECK(second.Query("SELECT standin_promote(1)") == "55000");
  CHECK(second.Query("SELECT standin_promote(2)") == start);
  second.Query("INSERT INTO t VALUES (2)");
  CHECK(second.Query("SELECT standin_promote(2)") == start);
  CHECK(second.Query("SELECT standin_promote(1)") == "55000");
  CHECK(second.Query("SELECT id FROM t") == "2");
  // The third server adopts the term although its log ends before the start of
  // the term.
  CHECK(third.WaitFor(kStatusQuery, "f,2,0,0,1,f"));

  // A former primary with entries of its own term rejoins as a replica.
  const Server stale({ "--role", "primary", "--peers", second.Address() });
  stale.Query("CREATE TABLE u(id integer)");
  CHECK(stale.Query("SELECT standin_promote(1)") == "0");
  stale.Query("SELECT standin_fence(2)");
  CHECK(stale.Query("CREATE TABLE v(id integer)") == "25006");
  CHECK(WaitUntil([&] { return GetStatusField(stale, 5) == "t"; }));
  CHECK(stale.Query("SELECT standin_promote(3)") == "55000");
  CHECK(stale.Query("SELECT standin_rebuild()") == "2");
  CHECK(stale.WaitFor("SELECT id FROM t", "2"));
  CHECK(stale.Query("SELECT * FROM u") == "42P01");
}

TEST_CASE("a fence disconnects sessions and rolls back transactions",
          "[standin]")
{
  const Server primary = MakePrimary();
  primary.Query("CREATE TABLE t(id integer)");
  const auto writer = Connect(primary.Address(), "test");
  Run(*writer, "BEGIN");
  Run(*writer, "INSERT INTO t VALUES (1)");
  primary.Query("SELECT standin_fence(2)");
  CHECK(Run(*writer, "COMMIT").sqlstate_ == "08006");
  CHECK(primary.WaitFor("SELECT count(*) FROM t", "0"));
  CHECK(primary.Query("SELECT standin_rebuild()") == "2");
  CHECK(primary.WaitFor("SELECT * FROM t", "42P01"));
}

TEST_CASE("one session can end another", "[standin]")
{
  struct Row
  {
    std::string last_; //!< in progress when the session is ended; empty: idle
    std::string name_;
    int age_; //!< in ms; -1: the session is ended by its number
    std::string ended_;
  };
  const auto row = GENERATE(values<Row>({
    { "", "wigeonlb/h/7", -1, "1" },
    { "SELECT pg_sleep(3600)", "wigeonlb/h/7", -1, "1" },
    { "INSERT INTO t VALUES (1)", "wigeonlb/h/7", -1, "1" },
    { "INSERT INTO t VALUES (1)", "wigeonlb/h/7", 0, "1" },
    { "INSERT INTO t VALUES (1)", "wigeonlb/h/7", 3600000, "0" },
    { "SELECT 1", "wigeonlb/h/7", 0, "1" },
    { "", "wigeonlb/h/8", -1, "0" },
    { "", "wigeonlb/h/8", 0, "0" },
  }));
  const Server primary({ "--role", "primary", "--slots", "1" });
  primary.Query("CREATE TABLE t(id integer)");
  const auto writer = Connect(primary.Address(), "test");
  const auto slot = Connect(primary.Address(), "test");
  const auto session =
    Connect(primary.Address(), "test", "application_name=wigeonlb/h/7");
  Run(*session, "BEGIN");
  if (row.last_.starts_with("INSERT")) { // waits for the writer's lock
    Run(*writer, "BEGIN");
    Run(*writer, "INSERT INTO t VALUES (2)");
  } else if (row.last_ == "SELECT 1") { // waits for the slot
    PQsendQuery(slot.get(), "SELECT pg_sleep(3600)");
  } else if (row.last_.empty()) {
    Run(*session, "INSERT INTO t VALUES (1)");
  }
  PQsendQuery(session.get(), row.last_.c_str());
  const std::string number = std::to_string(PQbackendPID(session.get()));
  const std::string command =
    row.age_ < 0 ? "end_session(" + number + ", '" + row.name_ + "')"
                 : "end_transactions('" + row.name_ + "', " +
                     std::to_string(row.age_) + ")";
  CHECK(primary.Query("SELECT standin_" + command) == row.ended_);
  if (row.ended_ == "0") {
    return;
  }
  // The ended session is disconnected at once and releases its lock and slot.
  CHECK(WaitUntil([&] { return PQconsumeInput(session.get()) == 0; }));
  SendCancel(*slot);
  Run(*writer, "ROLLBACK");
  CHECK(primary.Query("INSERT INTO t VALUES (3)").empty());
  CHECK(primary.Query("SELECT id FROM t") == "3");
}

TEST_CASE("transactions of several connections are isolated", "[standin]")
{
  const Server primary = MakePrimary();
  primary.Query("CREATE TABLE t(id integer)");
  const auto writer = Connect(primary.Address(), "test");
  Run(*writer, "BEGIN");
  Run(*writer, "INSERT INTO t VALUES (1)");
  CHECK(primary.Query("SELECT count(*) FROM t") == "0");
  auto second = std::async(std::launch::async, [&] {
    return primary.Query("INSERT INTO t SELECT count(*) + 10 FROM t");
  });
  CHECK(primary.WaitFor("SELECT count(*) FROM t", "0"));
  Run(*writer, "COMMIT");
  CHECK(second.get().empty());
  CHECK(primary.Query("SELECT max(id) FROM t") == "11");
}

TEST_CASE("connections over the limit are refused and counted", "[standin]")
{
  const Server primary({ "--role", "primary", "--connections", "2" });
  const Server replica({ "--peers", primary.Address() });
  {
    const auto one = Connect(primary.Address(), "test");
    const auto two = Connect(primary.Address(), "test");
    const auto three = Connect(primary.Address(), "test");
    CHECK(PQstatus(three.get()) == CONNECTION_BAD);
    CHECK(Run(*two, "SELECT * FROM standin_stats").rows_[0][2] == "1");
  }
  CHECK(WaitUntil([&] {
    const auto stats =
      RunOnce(primary.Address(), "SELECT * FROM standin_stats");
    return !stats.rows_.empty() && stats.rows_[0][0] == "1" &&
           stats.rows_[0][1] == "2";
  }));
}

TEST_CASE("slots limit the number of concurrent statements", "[standin]")
{
  const Server primary({ "--role", "primary", "--slots", "1" });
  const auto holder = Connect(primary.Address(), "test");
  const auto waiter = Connect(primary.Address(), "test");
  PQsendQuery(holder.get(), "SELECT pg_sleep(3600)");
  const auto concurrent = [&] {
    return RunOnce(primary.Address(), "SELECT * FROM standin_stats")
      .rows_[0][4];
  };
  CHECK(WaitUntil([&] { return concurrent() == "1"; }));
  PQsendQuery(waiter.get(), "SELECT 1");
  CHECK(WaitUntil([&] { return concurrent() == "2"; }));
  CHECK(PQconsumeInput(waiter.get()) == 1);
  CHECK(PQisBusy(waiter.get()) == 1);
  CHECK(SendCancel(*holder));
  CHECK(GetResult(*holder).sqlstate_ == "57014");
  CHECK(GetResult(*waiter).Text() == "1");
}

TEST_CASE("a statement that waits for a lock occupies no slot", "[standin]")
{
  const Server primary({ "--role", "primary", "--slots", "1" });
  primary.Query("CREATE TABLE t(id integer)");
  const auto holder = Connect(primary.Address(), "test");
  const auto waiter = Connect(primary.Address(), "test");
  Run(*holder, "BEGIN");
  Run(*holder, "INSERT INTO t VALUES (1)");
  PQsendQuery(waiter.get(), "INSERT INTO t VALUES (2)");
  CHECK(WaitUntil([&] {
    const auto stats =
      RunOnce(primary.Address(), "SELECT * FROM standin_stats");
    return stats.rows_[0][5] == "4";
  }));
  PQsendQuery(holder.get(), "INSERT INTO t VALUES (3)");
  CHECK(WaitUntil([&] {
    PQconsumeInput(holder.get());
    return PQisBusy(holder.get()) == 0;
  }));
  CHECK(GetResult(*holder).sqlstate_.empty());
  CHECK(PQgetResult(holder.get()) == nullptr);
  CHECK(Run(*holder, "COMMIT").sqlstate_.empty());
  CHECK(GetResult(*waiter).sqlstate_.empty());
  CHECK(primary.Query("SELECT count(*) FROM t") == "3");
}

TEST_CASE("cancel requests interrupt a statement", "[standin]")
{
  const auto sql =
    GENERATE(as<std::string>(),
             "SELECT pg_sleep(3600)",
             "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) "
             "SELECT count(*) FROM n");
  const Server primary = MakePrimary();
  const auto connection = Connect(primary.Address(), "test");
  PQsendQuery(connection.get(), sql.c_str());
  CHECK(WaitUntil([&] {
    SendCancel(*connection);
    PQconsumeInput(connection.get());
    return PQisBusy(connection.get()) == 0;
  }));
  CHECK(GetResult(*connection).sqlstate_ == "57014");
  CHECK(PQgetResult(connection.get()) == nullptr);
  CHECK(Run(*connection, "SELECT 1").Text() == "1");
}

TEST_CASE("silent connections do not respond, new connections do", "[standin]")
{
  const Server primary = MakePrimary();
  const auto old = Connect(primary.Address(), "test");
  CHECK(primary.Query("SELECT standin_set('silent','on')") == "on");
  PQsendQuery(old.get(), "SELECT 1");
  CHECK(primary.Query("SELECT 1") == "1");
  PQconsumeInput(old.get());
  CHECK(PQisBusy(old.get()) == 1);
  const auto control = Connect(primary.Address(), "test");
  Run(*control, "SELECT standin_set('refuse','on')");
  CHECK(primary.Query("SELECT 1") == "08006");
  Run(*control, "SELECT standin_set('refuse','off')");
  CHECK(primary.Query("SELECT 1") == "1");
}

TEST_CASE("a large result is streamed", "[standin]")
{
  constexpr int kRows = 65536;
  const Server primary = MakePrimary();
  const auto connection = Connect(primary.Address(), "test");
  PQsendQuery(connection.get(),
              "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
              "WHERE i < 65536) SELECT repeat('x', 1024) FROM n");
  PQsetSingleRowMode(connection.get());
  int rows = 0;
  while (PGresult* next = PQgetResult(connection.get())) {
    rows += PQntuples(next);
    PQclear(next);
  }
  CHECK(rows == kRows);
  std::ifstream status("/proc/" + std::to_string(primary.Id()) + "/status");
  std::string word;
  long peakKib = 0;
  while (status >> word) {
    if (word == "VmHWM:") {
      status >> peakKib;
    }
  }
  CHECK(peakKib > 0);
  CHECK(peakKib < 40000);
}

TEST_CASE("a stand-in announces itself and its departure", "[standin]")
{
  boost::asio::io_context context;
  std::vector<nlohmann::json> bodies;
  http::HttpRouter router;
  router.Add("POST", "/announce", [&](const auto& aRequest, auto aRespond) {
    bodies.push_back(nlohmann::json::parse(aRequest.body_));
    aRespond({});
  });
  http::HttpServer host(
    context, "127.0.0.1", 0, [&](const auto& aRequest, auto aRespond) {
      router.Handle(aRequest, aRespond);
    });
  REQUIRE_FALSE(host.Start());
  Server server({ "--announce",
                  "http://127.0.0.1:" + std::to_string(host.Port()),
                  "--announce-every-ms",
                  "10",
                  "--target",
                  "a" });
  const auto receivedLeaving = [&](bool aLeaving) {
    return WaitUntil([&] {
      context.run_for(std::chrono::milliseconds(1));
      return !bodies.empty() && bodies.back()["leaving"] == aLeaving;
    });
  };
  CHECK(receivedLeaving(false));
  CHECK(bodies.back()["address"] == server.Address());
  CHECK(bodies.back()["dialect"] == "standin");
  server.Signal(SIGTERM);
  CHECK(receivedLeaving(true));
  CHECK(server.Wait() == 0);
}

} // namespace wigeonlb::testing::standin
