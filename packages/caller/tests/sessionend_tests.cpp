#include "caller/tests/sessionfixture.h"

#include <boost/asio/post.hpp>

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

TEST_CASE("a connection that was accepted just before the host stops to accept "
          "is served",
          "[callerserver]")
{
  const std::size_t accepted = GENERATE(0, 1, 2); // when the host stops
  constexpr std::size_t kCallers = 4;
  Fixture fixture;
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < kCallers; ++i) {
    clients.push_back(fixture.Connect(kStartup + Query("a")));
  }
  fixture.RunUntil([&] { return fixture.server_.SessionCount() == accepted; });
  fixture.server_.StopAccepting();
  fixture.server_.CloseIdle();
  for (tcp::socket& client : clients) {
    CHECK(ReadRest(fixture, client).starts_with(kAccepted + kReady));
  }
}

TEST_CASE("a transaction that a late caller begins after the open ones were "
          "ended does not outlast them",
          "[callersession]")
{
  const bool isLate = GENERATE(false, true);
  Fixture fixture;
  fixture.recorder_.answer_ = [](CallerSession& aSession) {
    aSession.FinishQuery(TransactionStatus::InTransaction);
  };
  std::optional<tcp::socket> client;
  if (!isLate) {
    client = fixture.Connect(kStartup + Query("begin"));
    fixture.RunUntil([&] { return fixture.HasEvent("query begin"); });
  }
  fixture.server_.CloseIdle();
  fixture.server_.EndTransactions();
  if (isLate) {
    client = fixture.Connect(kStartup + Query("begin"));
  }
  fixture.server_.StopAccepting();
  // Longer than the times for a first query and for a refused caller.
  const auto until = foundation::SteadyNow() + std::chrono::milliseconds(3000);
  const std::string begun = kAccepted + Message('Z', "T");
  std::string read;
  client->non_blocking(true);
  fixture.RunUntil([&] {
    std::array<char, 4096> chunk{};
    boost::system::error_code error;
    read.append(chunk.data(),
                client->read_some(boost::asio::buffer(chunk), error));
    return error == boost::asio::error::eof || foundation::SteadyNow() >= until;
  });
  client->close();
  CHECK(read.starts_with(begun));
  CHECK(read.size() > begun.size()); // the error
}

TEST_CASE("a query that was read but not handled yet is answered before its "
          "session is closed",
          "[callersession]")
{
  const bool fillsChunk = GENERATE(false, true);
  constexpr std::size_t kChunkBytes = 8192;
  const std::size_t padding = fillsChunk ? kChunkBytes - 6 : 10;
  const auto length = static_cast<std::uint32_t>(padding + 5);
  std::string first = "Q\0\0"s;
  first += static_cast<char>(length >> 8U);
  first += static_cast<char>(length & 0xffU);
  first += std::string(padding, 'x') + '\0';
  Fixture fixture;
  fixture.recorder_.answer_ = [&](CallerSession& aSession) {
    // The answer of the first query is on its way when the second is read.
    boost::asio::post(fixture.context_, [session = &aSession] {
      session->RefuseWhenIdle({ .sqlstate_ = "57P01", .message_ = "stops" });
      session->FinishQuery(TransactionStatus::Idle);
    });
  };
  tcp::socket client = fixture.Connect(kStartup);
  fixture.ReadUntil(client, kReady);
  boost::asio::write(client, boost::asio::buffer(first + Query("b")));
  const std::string read = ReadRest(fixture, client);
  CHECK(read.starts_with(kReady + kReady + "E"));
  CHECK(fixture.HasEvent("query b"));
}

} // namespace wigeonlb::caller
