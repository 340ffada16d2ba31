#include <catch2/catch.hpp>

#include "traffic/ownedsessions.h"

namespace wigeonlb::daemon::traffic {

using namespace std::chrono_literals;

namespace {

wire::ForwardRequest
MakeRequest(std::uint64_t aNumber)
{
  wire::ForwardRequest request;
  request.set_session(1);
  request.set_request(aNumber);
  return request;
}

} // namespace

TEST_CASE("a later request replaces one that still runs, a late one is dropped",
          "[ownedsessions]")
{
  struct Row
  {
    std::uint64_t last_;
    bool running_;
    std::uint64_t next_;
    bool isTaken_;
  };
  const auto row = GENERATE(values<Row>({
    { 3, false, 4, true },
    { 3, false, 3, false },
    { 3, false, 2, false },
    { 3, true, 4, true },
    { 3, true, 3, false },
    { 3, true, 2, false },
  }));
  OwnedSessions sessions;
  OwnedSession& session = sessions.GetOrCreate({ "h", 1, 1 });
  REQUIRE(BeginRequest(session, MakeRequest(row.last_)));
  session.running_ = row.running_;
  CHECK(BeginRequest(session, MakeRequest(row.next_)) == row.isTaken_);
  CHECK(session.request_.request() == (row.isTaken_ ? row.next_ : row.last_));
}

TEST_CASE("a close ends the requests that it names and those that arrive late",
          "[ownedsessions]")
{
  struct Row
  {
    std::uint64_t last_; //!< 0: the session was not known
    std::uint64_t closed_;
    bool isClosed_;
    std::uint64_t next_;
    bool isTaken_;
  };
  const auto row = GENERATE(values<Row>({
    { 3, 3, true, 3, false },
    { 3, 3, true, 4, true },
    { 3, 5, true, 5, false },
    { 3, 5, true, 6, true },
    { 3, 2, false, 3, false },
    { 3, 0, true, 3, false },
    { 3, 0, true, 4, true },
    { 0, 3, true, 3, false },
    { 0, 3, true, 4, true },
  }));
  OwnedSessions sessions;
  OwnedSession& session = sessions.GetOrCreate({ "h", 1, 1 });
  if (row.last_ != 0) {
    REQUIRE(BeginRequest(session, MakeRequest(row.last_)));
  }
  CHECK(sessions.Close(session, row.closed_, foundation::SteadyNow()) ==
        row.isClosed_);
  CHECK(BeginRequest(session, MakeRequest(row.next_)) == row.isTaken_);
}

TEST_CASE("a session that is not in use is forgotten after its lifetime",
          "[ownedsessions]")
{
  struct Row
  {
    bool running_;
    std::uint64_t transaction_;
    foundation::Duration later_;
    bool isKept_;
  };
  const auto row = GENERATE(values<Row>({
    { false, 0, kIdleSessionLifetimeMs, true },
    { false, 0, kIdleSessionLifetimeMs + 1ms, false },
    { true, 0, kIdleSessionLifetimeMs + 1ms, true },
    { false, 3, kIdleSessionLifetimeMs + 1ms, true },
  }));
  const SessionKey key("h", 1, 1);
  const foundation::Instant start = foundation::SteadyNow();
  OwnedSessions sessions;
  OwnedSession& session = sessions.GetOrCreate(key);
  session.running_ = row.running_;
  session.transaction_ = row.transaction_;
  sessions.OnUsed(session, start);
  sessions.OnUsed(sessions.GetOrCreate({ "h", 1, 2 }), start + row.later_);
  CHECK((sessions.Find(key) != nullptr) == row.isKept_);
}

TEST_CASE("a session that was idle is kept after its close", "[ownedsessions]")
{
  const SessionKey key("h", 1, 1);
  const foundation::Instant start = foundation::SteadyNow();
  const foundation::Instant later = start + kIdleSessionLifetimeMs + 1ms;
  OwnedSessions sessions;
  OwnedSession& session = sessions.GetOrCreate(key);
  sessions.OnUsed(session, start);
  REQUIRE(sessions.Close(session, 0, later));
  sessions.OnUsed(sessions.GetOrCreate({ "h", 1, 2 }), later);
  CHECK(sessions.Find(key) == &session);
}

TEST_CASE("only a request of the open transaction continues it",
          "[ownedsessions]")
{
  // Without a value, the entry host does not tell the transaction.
  using Number = std::optional<std::uint64_t>;
  struct Row
  {
    std::vector<std::pair<Number, char>> ended_; //!< with the status after it
    Number next_;
    bool continues_;
  };
  const auto row = GENERATE(values<Row>({
    { {}, std::nullopt, false },
    { {}, 1, false },
    { { { 0, 'I' } }, 1, false },
    { { { 0, 'T' } }, 1, true },
    { { { 0, 'T' } }, 0, false },
    { { { 0, 'T' } }, 2, false },
    { { { 0, 'T' } }, std::nullopt, true },
    { { { 0, 'T' }, { 1, 'T' } }, 1, true },
    { { { 0, 'T' }, { 1, 'E' } }, 1, true },
    { { { 0, 'T' }, { 1, 'I' } }, 1, false },
    { { { 0, 'T' }, { 0, 'T' } }, 1, false },
    { { { 0, 'T' }, { 0, 'T' } }, 2, true },
    { { { 0, 'T' }, { 9, 'E' } }, 9, true },
    { { { std::nullopt, 'T' } }, std::nullopt, true },
    { { { std::nullopt, 'T' }, { std::nullopt, 'T' } }, std::nullopt, true },
    { { { std::nullopt, 'T' }, { std::nullopt, 'I' } }, std::nullopt, false },
  }));
  const SessionKey key("h", 1, 1);
  OwnedSessions sessions;
  OwnedSession& session = sessions.GetOrCreate(key);
  std::uint64_t number = 0;
  const auto makeRequest = [&](const Number& aTransaction) {
    wire::ForwardRequest request = MakeRequest(++number);
    if (aTransaction) {
      request.set_transaction(*aTransaction);
    }
    return request;
  };
  for (const auto& [transaction, status] : row.ended_) {
    REQUIRE(BeginRequest(session, makeRequest(transaction)));
    EndRequest(session, status);
  }
  CHECK(sessions.ContinuesTransaction(key, makeRequest(row.next_)) ==
        row.continues_);
}

} // namespace wigeonlb::daemon::traffic
