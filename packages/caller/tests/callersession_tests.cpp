#include "caller/sqlstates.h"
#include "caller/tests/sessionfixture.h"

namespace wigeonlb::caller {

TEST_CASE("a session answers sequences of messages", "[callersession]")
{
  struct Row
  {
    std::string sent_;
    std::string answer_;
    std::vector<std::string> events_;
  };
  const auto unsupported = [](const std::string& aWhat) {
    std::string frames;
    AppendErrorResponse(frames,
                        { "ERROR",
                          "0A000",
                          "the " + aWhat + " is not supported",
                          "",
                          "Use the simple query protocol." });
    return frames;
  };
  const auto extended = unsupported("extended query protocol");
  const auto call = unsupported("function call message");
  const auto row = GENERATE_COPY(values<Row>({
    { kStartup, kAccepted, { "startup d" } },
    { "\0\0\0\x08\x04\xd2\x16\x2f"s + kStartup,
      "N" + kAccepted,
      { "startup d" } },
    { "\0\0\0\x08\x04\xd2\x16\x30\0\0\0\x08\x04\xd2\x16\x2f"s + kStartup,
      "NN" + kAccepted,
      { "startup d" } },
    { kStartup + Query("a") + Query("") + Query("b"),
      kAccepted + kReady + kReady + kReady,
      { "startup d", "query a", "query ", "query b" } },
    { kStartup + Message('P', "x") + Message('B', "") + Query("no") +
        Message('S', "") + Query("a"),
      kAccepted + extended + kReady + kReady,
      { "startup d", "query a" } },
    { kStartup + Message('F', "x") + Query("a"),
      kAccepted + call + kReady + kReady,
      { "startup d", "query a" } },
    { kStartup + Message('H', "") + Message('d', "x") + Message('c', "") +
        Message('S', ""),
      kAccepted + kReady,
      { "startup d" } },
  }));
  const bool split = GENERATE(false, true);
  Fixture fixture;
  auto client = fixture.Connect(split ? "" : row.sent_);
  if (split) {
    for (const char byte : row.sent_) {
      boost::asio::write(client, boost::asio::buffer(&byte, 1));
      fixture.context_.poll();
    }
  }
  std::string read;
  CHECK(fixture.RunUntil([&] {
    read += ReadAvailable(client);
    return read.size() >= row.answer_.size();
  }));
  CHECK(read == row.answer_);
  CHECK(fixture.recorder_.events_ == row.events_);
}

TEST_CASE("malformed input closes only its own session", "[callersession]")
{
  struct Row
  {
    std::string sent_;
    std::string sqlstate_;
  };
  const auto row = GENERATE(values<Row>({
    { "GET / HTTP/1.1\r\n\r\n", "08P01" },
    { "\0\0\0\x03"s, "08P01" },
    { "\0\0\0\x0d\0\x02\0\0user\0"s, "0A000" },
    { "\0\0\0\x09\0\x03\0\0x"s, "08P01" },
    { kStartup + "Q\0\0\0\x02"s, "08P01" },
    { kStartup + "Q\x7f\xff\xff\xff"s, "08P01" },
    { kStartup + Message('Q', "unterminated"), "08P01" },
    { kStartup + Message('p', "password\0"s), "08P01" },
    { kStartup + Message('~', ""), "08P01" },
  }));
  Fixture fixture;
  auto other = fixture.Connect(kStartup);
  fixture.ReadUntil(other, kReady);
  auto client = fixture.Connect(row.sent_);
  const std::string read = fixture.ReadToEnd(client);
  CHECK(read.find("SFATAL\0VFATAL\0C"s + row.sqlstate_) != std::string::npos);
  boost::asio::write(other, boost::asio::buffer(Query("a")));
  fixture.ReadUntil(other, kReady);
}

TEST_CASE("an observer may end a session from any callback", "[callersession]")
{
  struct Row
  {
    bool atStartup_;
    bool refuses_;
  };
  const auto row = GENERATE(values<Row>(
    { { true, true }, { true, false }, { false, true }, { false, false } }));
  Fixture fixture;
  const auto end = [&](CallerSession& aSession) {
    if (row.refuses_) {
      aSession.Refuse({ .sqlstate_ = "3D000", .message_ = "unknown group" });
    } else {
      aSession.Close();
    }
    // Calls on a closing or closed session have no effect.
    aSession.AcceptStartup({}, kKey);
    aSession.Send("late");
    aSession.FinishQuery(TransactionStatus::Idle);
  };
  fixture.recorder_.accept_ = !row.atStartup_;
  if (row.atStartup_) {
    fixture.recorder_.startup_ = end;
  }
  fixture.recorder_.answer_ = end;
  auto client = fixture.Connect(kStartup + Query("a") + Query("b"));
  const std::string read = fixture.ReadToEnd(client);
  CHECK((read.find("C3D000") != std::string::npos) == row.refuses_);
  CHECK(read.find("late") == std::string::npos);
  CHECK_FALSE(fixture.HasEvent("query b"));
  client.close();
  CHECK(fixture.RunUntil([&] { return fixture.server_.SessionCount() == 0; }));
  CHECK(fixture.recorder_.events_.back() == "closed");
}

TEST_CASE("a newer minor version is negotiated down to 3.0", "[callersession]")
{
  std::string startup = kStartup;
  startup[7] = 2;
  std::string expected;
  AppendNegotiateProtocolVersion(expected, {});
  Fixture fixture;
  auto client = fixture.Connect(startup);
  CHECK(fixture.ReadUntil(client, kReady) == expected + kAccepted);
}

TEST_CASE("the next query waits until the current one is finished",
          "[callersession]")
{
  Fixture fixture;
  fixture.recorder_.answer_ = nullptr;
  auto client = fixture.Connect(kStartup + Query("a") + Query("b"));
  CHECK(fixture.RunUntil([&] { return fixture.HasEvent("query a"); }));
  fixture.context_.poll();
  CHECK_FALSE(fixture.HasEvent("query b"));
  CHECK(fixture.recorder_.session_->QueryInProgress());
  fixture.recorder_.session_->FinishQuery(TransactionStatus::InTransaction);
  CHECK(fixture.RunUntil([&] { return fixture.HasEvent("query b"); }));
  fixture.ReadUntil(client, Message('Z', "T"));
}

TEST_CASE("a disconnect of the caller is detected", "[callersession]")
{
  struct Row
  {
    std::string sent_;
    bool reportsClosed_;
  };
  const auto row = GENERATE(values<Row>({
    { kStartup, true },
    { kStartup + Message('X', ""), true },
    { kStartup + Query("in progress"), true },
    { "\0\0"s, false },
    { "\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x07\0\0\0\x09"s, false },
  }));
  Fixture fixture;
  fixture.recorder_.answer_ = nullptr;
  {
    auto client = fixture.Connect(row.sent_);
    CHECK(
      fixture.RunUntil([&] { return fixture.server_.SessionCount() == 1; }));
  }
  CHECK(fixture.RunUntil([&] { return fixture.server_.SessionCount() == 0; }));
  CHECK(fixture.HasEvent("closed") == row.reportsClosed_);
  CHECK(fixture.HasEvent("cancel 7/9") == (row.sent_.size() == 16));
}

TEST_CASE("a connection without a startup packet is closed after the timeout",
          "[callersession]")
{
  CallerServerOptions options;
  options.session_.startupTimeout_ = std::chrono::milliseconds(20);
  Fixture fixture(options);
  auto client = fixture.Connect("\0\0"s);
  CHECK(fixture.ReadToEnd(client).empty());
}

TEST_CASE("queued output is counted and OnDrained is called", "[callersession]")
{
  Fixture fixture;
  constexpr std::size_t kAnswerBytes = 32 << 20U;
  fixture.recorder_.answer_ = [](CallerSession& aSession) {
    aSession.Send(std::string(kAnswerBytes, 'D'));
  };
  auto client = fixture.Connect(kStartup);
  fixture.ReadUntil(client, kReady);
  boost::asio::write(client, boost::asio::buffer(Query("a")));
  CHECK(fixture.RunUntil([&] { return fixture.HasEvent("query a"); }));
  CHECK(fixture.recorder_.session_->QueuedBytes() > kAnswerBytes / 2);
  CHECK_FALSE(fixture.HasEvent("drained"));
  fixture.ReadUntil(client, "D");
  CHECK(fixture.RunUntil([&] {
    ReadAvailable(client);
    return fixture.HasEvent("drained");
  }));
}

TEST_CASE("replies to refused messages are limited if they are not read",
          "[callersession]")
{
  Fixture fixture;
  auto client = fixture.Connect(kStartup);
  fixture.ReadUntil(client, kReady);
  std::string syncs;
  for (int i = 0; i < 1000; ++i) {
    syncs += Message('P', "") + Message('S', "");
  }
  client.non_blocking(true);
  // Ends when the client can't write any more, because all buffers are full.
  int stalled = 0;
  while (stalled < 200) {
    boost::system::error_code error;
    client.write_some(boost::asio::buffer(syncs), error);
    stalled = error ? stalled + 1 : 0;
    fixture.context_.poll();
    fixture.context_.restart();
  }
  const auto low = CallerSessionOptions().lowWaterBytes_;
  CHECK(fixture.recorder_.session_->QueuedBytes() < low + 1024);
}

TEST_CASE("shutdown waits for open queries and transactions", "[callerserver]")
{
  struct Row
  {
    TransactionStatus status_;
    bool closes_;
  };
  const auto row = GENERATE(values<Row>({
    { TransactionStatus::Idle, true },
    { TransactionStatus::InTransaction, false },
    { TransactionStatus::Failed, false },
  }));
  Fixture fixture;
  fixture.recorder_.answer_ = nullptr;
  auto busy = fixture.Connect(kStartup + Query("a"));
  CHECK(fixture.RunUntil([&] { return fixture.HasEvent("query a"); }));
  const auto session = fixture.recorder_.session_;
  auto idle = fixture.Connect(kStartup);
  fixture.ReadUntil(idle, kReady);
  fixture.server_.StopAccepting();
  fixture.server_.CloseIdle();
  CHECK(fixture.ReadToEnd(idle).find("C57P01") != std::string::npos);
  CHECK(session->QueryInProgress());
  session->FinishQuery(row.status_);
  if (!row.closes_) {
    fixture.ReadUntil(busy, Message('Z', std::string(1, char(row.status_))));
    boost::asio::write(busy, boost::asio::buffer(Query("commit")));
    CHECK(fixture.RunUntil([&] { return fixture.HasEvent("query commit"); }));
    session->FinishQuery(TransactionStatus::Idle);
  }
  CHECK(fixture.ReadToEnd(busy).find(kReady + "E") != std::string::npos);
  busy.close();
  idle.close();
  CHECK(fixture.RunUntil([&] { return fixture.server_.SessionCount() == 0; }));
}

TEST_CASE("sessions above the limit are refused with 53300", "[callerserver]")
{
  CallerServerOptions options;
  options.maxSessions_ = 1;
  Fixture fixture(options);
  auto first = fixture.Connect(kStartup);
  fixture.ReadUntil(first, kReady);
  auto second = fixture.Connect(kStartup);
  CHECK(fixture.ReadToEnd(second).find("C53300") != std::string::npos);
  CHECK(fixture.server_.RefusedCount() == 1);
  auto cancel =
    fixture.Connect("\0\0\0\x10\x04\xd2\x16\x2e\0\0\0\x07\0\0\0\x09"s);
  CHECK(fixture.RunUntil([&] { return fixture.HasEvent("cancel 7/9"); }));
}

} // namespace wigeonlb::caller
