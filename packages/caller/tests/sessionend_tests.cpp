#include "caller/tests/sessionfixture.h"

namespace wigeonlb::caller {

using namespace std::string_literals;
using boost::asio::ip::tcp;

namespace {

const std::string kShutDown = "C57P01";

//! What the caller reads after its first ReadyForQuery, up to the end.
std::string
ReadRest(Fixture& aFixture, tcp::socket& aClient)
{
  const std::string read = aFixture.ReadToEnd(aClient);
  aClient.close();
  return read;
}

} // namespace

TEST_CASE("a query that has arrived is answered before its session is closed",
          "[callersession]")
{
  struct Row
  {
    std::size_t callers_;
    std::size_t unreadBytes_; //!< of the query, when the host begins to close
    bool isTransaction_;
  };
  const auto row = GENERATE(values<Row>({
    { 1, 1, false },
    { 1, 7, false },
    { 100, 7, false },
    { 1, 1, true },
    { 100, 7, true },
  }));
  const std::string query = Query("a");
  Fixture fixture;
  fixture.recorder_.answer_ = [&](CallerSession& aSession) {
    aSession.FinishQuery(row.isTransaction_ ? TransactionStatus::InTransaction
                                            : TransactionStatus::Idle);
  };
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < row.callers_; ++i) {
    clients.push_back(fixture.Connect(kStartup));
    fixture.ReadUntil(clients.back(), kReady);
    if (row.isTransaction_) {
      boost::asio::write(clients.back(), boost::asio::buffer(Query("begin")));
      fixture.ReadUntil(clients.back(), Message('Z', "T"));
    }
  }
  for (tcp::socket& client : clients) {
    boost::asio::write(client, boost::asio::buffer(query, row.unreadBytes_));
  }
  fixture.server_.CloseIdle();
  if (row.isTransaction_) {
    fixture.server_.EndTransactions();
  }
  fixture.context_.run_for(std::chrono::milliseconds(50));
  for (tcp::socket& client : clients) {
    boost::asio::write(client, boost::asio::buffer(query) + row.unreadBytes_);
  }
  const std::string ready = Message('Z', row.isTransaction_ ? "T" : "I");
  for (tcp::socket& client : clients) {
    const std::string read = ReadRest(fixture, client);
    CHECK(read.starts_with(ready + "E"));
  }
  CHECK(std::ranges::count(fixture.recorder_.events_, "query a") ==
        static_cast<std::ptrdiff_t>(row.callers_));
  CHECK(fixture.RunUntil([&] { return fixture.server_.SessionCount() == 0; }));
}

TEST_CASE("a connection that is opened while the host closes its sessions may "
          "send one query",
          "[callersession]")
{
  struct Row
  {
    std::string sent_;
    std::string received_; //!< before the error; empty: no error either
  };
  const auto row = GENERATE(values<Row>({
    { kStartup + Query("a"), kAccepted + kReady },
    { kStartup + Query("a") + Query("b"), kAccepted + kReady + kReady },
    { kStartup, kAccepted },
    { "", "" },
  }));
  const bool isAccepted = GENERATE(false, true); // before the host closes
  Fixture fixture;
  std::optional<tcp::socket> client;
  if (isAccepted) {
    client = fixture.Connect("");
    fixture.RunUntil([&] { return fixture.server_.SessionCount() == 1; });
    boost::asio::write(*client, boost::asio::buffer(row.sent_));
  }
  fixture.server_.CloseIdle();
  if (!isAccepted) {
    client = fixture.Connect(row.sent_);
  }
  const std::string read = ReadRest(fixture, *client);
  CHECK(read.starts_with(row.received_));
  CHECK((read.find(kShutDown) != std::string::npos) == !row.sent_.empty());
  CHECK(fixture.RunUntil([&] { return fixture.server_.SessionCount() == 0; }));
}

TEST_CASE("connections that wait to be accepted are served when the host stops "
          "to accept",
          "[callerserver]")
{
  const std::size_t callers = GENERATE(1, 20);
  Fixture fixture;
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < callers; ++i) {
    clients.push_back(fixture.Connect(kStartup + Query("a")));
  }
  fixture.server_.StopAccepting();
  fixture.server_.CloseIdle();
  for (tcp::socket& client : clients) {
    CHECK(ReadRest(fixture, client).starts_with(kAccepted + kReady));
  }
}

} // namespace wigeonlb::caller
