#include "tests/shardfixture.h"

namespace wigeonlb::daemon::traffic {

namespace {

const std::string kReady("Z\0\0\0\5", 5);

//! A complete answer as an owner sends it.
std::string
MakeAnswer()
{
  std::string frames;
  caller::AppendCommandComplete(frames, "SELECT 1");
  return frames;
}

} // namespace

TEST_CASE("a request goes to the next owner if one refuses it as not the owner",
          "[entrysession]")
{
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query("INSERT INTO t VALUES (1)");
  auto [first, request] = fixture.NextRequest();
  CHECK(first == "h1");
  wire::ForwardEnd end = fixture.MakeEnd(request, wire::OUTCOME_NOT_RUN);
  end.set_not_owner(true);
  fixture.SendEnd(end);
  auto [second, retry] = fixture.NextRequest();
  CHECK(second == "h2");
  CHECK(retry.request() > request.request());
  end = fixture.MakeEnd(retry, wire::OUTCOME_NOT_RUN);
  end.set_not_owner(true);
  end.set_message("the last refusal");
  fixture.SendEnd(end);
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK(answer.find("the last refusal") != std::string::npos);
  CHECK(answer.find("57P03") != std::string::npos);
  CHECK(answer.find("retry after") != std::string::npos);
}

TEST_CASE("an unreachable owner is skipped", "[entrysession]")
{
  ShardFixture fixture;
  fixture.Connect();
  fixture.port_.unreachable_ = { "h1" };
  fixture.Query("INSERT INTO t VALUES (1)");
  CHECK(fixture.NextRequest().first == "h2");
}

TEST_CASE("a late answer to an earlier attempt is not sent to the caller",
          "[entrysession]")
{
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query("SELECT n FROM t");
  const auto [first, request] = fixture.NextRequest();
  fixture.shard_->OnHostLost("h1");
  const auto [second, retry] = fixture.NextRequest();
  std::string late;
  caller::AppendCommandComplete(late, "LATE");
  fixture.SendFrames(request, 0, late);
  fixture.SendEnd(fixture.MakeEnd(request, wire::OUTCOME_DONE));
  fixture.SendFrames(retry, 0, MakeAnswer());
  wire::ForwardEnd end = fixture.MakeEnd(retry, wire::OUTCOME_DONE);
  end.set_pieces(1);
  fixture.SendEnd(end);
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK(answer.find("LATE") == std::string::npos);
  CHECK(answer.find("SELECT 1") != std::string::npos);
}

TEST_CASE(
  "an answer to a session of an earlier start of this host is not sent to "
  "a caller",
  "[entrysession]")
{
  struct Row
  {
    std::uint64_t boot_;
    bool isSent_;
  };
  const auto row = GENERATE(values<Row>({
    { ShardFixture::kBoot, true },
    { ShardFixture::kBoot + 1, false },
    { 0, true }, // from an owner that does not tell it
  }));
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query("SELECT n FROM t");
  const auto [host, request] = fixture.NextRequest();
  wire::ForwardEnd end = fixture.MakeEnd(request, wire::OUTCOME_DONE);
  end.set_last_frames("other answer");
  end.set_boot(row.boot_);
  fixture.SendEnd(end);
  end.set_last_frames("own answer");
  end.set_boot(ShardFixture::kBoot);
  fixture.SendEnd(end);
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK((answer.find("other answer") != std::string::npos) == row.isSent_);
}

TEST_CASE("a message of a host's former start is dropped", "[trafficshard]")
{
  struct Row
  {
    std::vector<std::uint64_t> boots_;
    std::size_t answers_;
  };
  const auto row = GENERATE(values<Row>({
    { { 1, 1 }, 2 },
    { { 1, 2 }, 2 },
    { { 1, 2, 1 }, 2 },
    { { 1, 2, 1, 2 }, 3 },
    { { 1, 2, 3 }, 3 },
    { { 1, 2, 3, 1 }, 3 },
    { { 1, 2, 3, 1, 3, 3 }, 5 },
  }));
  ShardFixture fixture;
  for (const std::uint64_t boot : row.boots_) {
    wire::PeerMessage message;
    message.set_from("other");
    message.set_boot(boot);
    message.mutable_forward_request()->set_group("unknown");
    fixture.shard_->OnPeerMessage(std::move(message));
  }
  CHECK(fixture.port_.sent_.size() == row.answers_);
}

TEST_CASE("an owner that stops passes no request to its group, and is released "
          "when none has arrived for a while",
          "[trafficshard]")
{
  const bool stops = GENERATE(true, false);
  ShardFixture fixture;
  TrafficShard& shard = *fixture.shard_;
  shard.GetOrCreateOwner("g");
  if (stops) {
    shard.RefuseRequests();
  }
  wire::PeerMessage message;
  message.set_from("other");
  message.set_boot(1);
  wire::ForwardRequest& request = *message.mutable_forward_request();
  request.set_group("g");
  request.set_session(1);
  request.set_request(1);
  shard.OnPeerMessage(std::move(message));
  REQUIRE(fixture.port_.sent_.size() == 1);
  const wire::ForwardEnd& end = fixture.port_.sent_.back().second.forward_end();
  CHECK(end.outcome() == wire::OUTCOME_NOT_RUN);
  CHECK(end.not_owner() == stops);
  const auto now = foundation::SteadyNow();
  CHECK_FALSE(shard.IsReleased(now));
  CHECK(shard.IsReleased(now + std::chrono::seconds(1)) == stops);
}

TEST_CASE("a request of a host that is only silent is answered",
          "[trafficshard]")
{
  const bool silent = GENERATE(false, true);
  ShardFixture fixture;
  // The kernel accepts the target's connections, and nothing ever answers.
  boost::asio::ip::tcp::acceptor target(
    fixture.context_, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  core::traffic::GroupChanged changed;
  changed.group_.set_group("g");
  changed.group_.set_term(1);
  changed.group_.set_primary("t");
  wire::TermStart& start = *changed.group_.add_history();
  start.set_term(1);
  start.set_primary("t");
  wire::TargetState& state = *changed.group_.add_targets();
  state.set_target("t");
  state.set_address("127.0.0.1:" +
                    std::to_string(target.local_endpoint().port()));
  state.set_slots(1);
  state.set_incarnation(1);
  state.set_counted(true);
  changed.usable_ = { "t" };
  OwnerGroup& owner = fixture.shard_->GetOrCreateOwner("g");
  owner.OnGroupChanged(changed);
  core::traffic::HeldGrant grant;
  grant.term_ = 1;
  grant.primary_ = "t";
  grant.share_ = 1;
  grant.expires_ = foundation::SteadyNow() + std::chrono::minutes(1);
  owner.OnGrantChanged({ grant });
  wire::PeerMessage message;
  message.set_from("other");
  message.set_boot(1);
  wire::ForwardRequest& request = *message.mutable_forward_request();
  request.set_group("g");
  request.set_session(1);
  request.set_request(1);
  request.set_statement("INSERT INTO t VALUES (1)");
  request.set_deadline_us(300000);
  fixture.shard_->OnPeerMessage(message);
  REQUIRE(owner.RunningCount() == 1);
  if (silent) {
    fixture.shard_->OnHostLost("other");
  }
  CHECK(owner.RunningCount() == 1);
  const auto hasEnd = [&] {
    return std::ranges::any_of(fixture.port_.sent_, [](const auto& aSent) {
      return aSent.first == "other" && aSent.second.has_forward_end();
    });
  };
  CHECK(fixture.RunUntil(hasEnd, std::chrono::seconds(5)));
  CHECK(owner.RunningCount() == 0);
}

TEST_CASE("an idle transaction of a lost host ends if the host stays silent",
          "[trafficshard]")
{
  struct Row
  {
    bool lost_;
    bool reachableAgain_;
    bool ends_;
  };
  const auto row = GENERATE(values<Row>({
    { false, false, false },
    { true, false, true },
    { true, true, false },
  }));
  ShardFixture fixture;
  TrafficShard& shard = *fixture.shard_;
  OwnerGroup& owner = shard.GetOrCreateOwner("g");
  // A statement of a transaction that isn't open here fails, and its session
  // stays in the failed transaction.
  wire::PeerMessage message;
  message.set_from("other");
  message.set_boot(1);
  wire::ForwardRequest& request = *message.mutable_forward_request();
  request.set_group("g");
  request.set_session(1);
  request.set_request(2);
  request.set_in_transaction(true);
  request.set_transaction(1);
  shard.OnPeerMessage(message);
  REQUIRE(owner.RunningCount() == 1);
  if (row.lost_) {
    shard.OnHostLost("other");
    CHECK(owner.RunningCount() == 1);
  }
  if (row.reachableAgain_) {
    shard.OnHostReachable("other");
  }
  const auto ended = [&] { return owner.RunningCount() == 0; };
  CHECK(fixture.RunUntil(ended, std::chrono::milliseconds(3000)) == row.ends_);
}

TEST_CASE(
  "an answer that lost a part ends with an error, and its session goes on",
  "[entrysession]")
{
  struct Row
  {
    std::vector<std::uint64_t> pieces_;
    std::uint64_t announcedPieces_;
    bool complete_;
  };
  const auto row = GENERATE(values<Row>({
    { { 0, 1 }, 2, true },
    { { 0 }, 2, false },
    { { 1 }, 2, false },
    { { 0, 2 }, 3, false },
    { {}, 1, false },
  }));
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query("SELECT n FROM t");
  const auto [host, request] = fixture.NextRequest();
  for (const std::uint64_t piece : row.pieces_) {
    fixture.SendFrames(request, piece, MakeAnswer());
  }
  wire::ForwardEnd end = fixture.MakeEnd(request, wire::OUTCOME_DONE);
  end.set_pieces(row.announcedPieces_);
  end.set_last_frames("last frames");
  fixture.SendEnd(end);
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK((answer.find("C08007") == std::string::npos) == row.complete_);
  CHECK((answer.find("last frames") != std::string::npos) == row.complete_);
  CHECK(answer.ends_with(kReady + "I"));
  CHECK(fixture.NextClose("h1", std::chrono::milliseconds(100)).has_value() ==
        !row.complete_);
  fixture.Query("SELECT n FROM t");
  CHECK(fixture.NextRequest().second.request() > request.request());
}

TEST_CASE("the loss of an owner gives each request the right outcome",
          "[entrysession]")
{
  struct Row
  {
    std::string sql_;
    bool inTransaction_;
    bool answerBegun_;
    std::string outcome_; //!< SQLSTATE, or empty: sent to the next owner
  };
  const auto row = GENERATE(values<Row>({
    { "INSERT INTO t VALUES (1)", false, false, "08007" },
    { "SELECT n FROM t", false, false, "" },
    { "SELECT n FROM t FOR UPDATE", false, false, "" },
    { "SELECT n FROM t FOR UPDATE", false, true, "08007" },
    { "SELECT n FROM t", false, true, "08007" },
    { "BEGIN", false, false, "" },
    { "INSERT INTO t VALUES (1)", true, false, "40003" },
    { "SELECT n FROM t", true, false, "40003" },
    { "COMMIT", true, false, "08007" },
  }));
  ShardFixture fixture;
  fixture.Connect();
  if (row.inTransaction_) {
    fixture.BeginTransaction();
  }
  fixture.Query(row.sql_);
  const auto [host, request] = fixture.NextRequest();
  CHECK(host == "h1");
  if (row.answerBegun_) {
    fixture.SendFrames(request, 0, MakeAnswer());
  }
  fixture.shard_->OnHostLost("h1");
  if (row.outcome_.empty()) {
    CHECK(fixture.NextRequest().first == "h2");
    return;
  }
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK(answer.find(row.outcome_) != std::string::npos);
  CHECK(answer.substr(answer.size() - 1) == "I");
}

TEST_CASE("the restart of an owner ends only what its former start alone knows",
          "[entrysession]")
{
  struct Row
  {
    std::string sql_;
    std::uint64_t transactionBoot_; //!< 0: outside a transaction
    std::optional<bool> known_;     //!< to the present start, if it is asked
    std::string outcome_; //!< SQLSTATE; empty: it is answered by the owner
  };
  constexpr std::uint64_t kFormer = 1;
  constexpr std::uint64_t kPresent = 2;
  const auto row = GENERATE_COPY(values<Row>({
    { "INSERT INTO t VALUES (1)", 0, true, "" },
    { "INSERT INTO t VALUES (1)", 0, false, "08007" },
    { "INSERT INTO t VALUES (1)", kPresent, {}, "" },
    { "SELECT n FROM t", kPresent, {}, "" },
    { "COMMIT", kPresent, {}, "" },
    { "INSERT INTO t VALUES (1)", kFormer, {}, "40003" },
    { "COMMIT", kFormer, {}, "08007" },
  }));
  ShardFixture fixture;
  fixture.Connect();
  if (row.transactionBoot_ != 0) {
    fixture.ownerBoot_ = row.transactionBoot_;
    fixture.BeginTransaction();
  }
  fixture.Query(row.sql_);
  const auto [host, request] = fixture.NextRequest();
  fixture.shard_->OnHostRestarted("h1", kPresent);
  if (row.known_) {
    fixture.AnswerCheck(*row.known_);
  }
  if (row.outcome_.empty()) {
    fixture.ownerBoot_ = kPresent;
    wire::ForwardEnd end = fixture.MakeEnd(request, wire::OUTCOME_DONE);
    end.set_last_frames(MakeAnswer());
    fixture.SendEnd(end);
  }
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK(answer.find(row.outcome_) != std::string::npos);
  CHECK((answer.find("SELECT 1") != std::string::npos) == row.outcome_.empty());
  CHECK(answer.ends_with("I"));
}

TEST_CASE(
  "a write sent shortly before its owner is taken for lost is given time",
  "[entrysession]")
{
  const bool answered = GENERATE(true, false);
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query("INSERT INTO t VALUES (1)");
  const foundation::Instant sentAt = foundation::SteadyNow();
  const auto [host, request] = fixture.NextRequest();
  fixture.shard_->OnHostLost("h1");
  if (answered) {
    wire::ForwardEnd end = fixture.MakeEnd(request, wire::OUTCOME_DONE);
    end.set_last_frames(MakeAnswer());
    fixture.SendEnd(end);
  }
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK((answer.find("SELECT 1") != std::string::npos) == answered);
  CHECK((answer.find("08007") != std::string::npos) == !answered);
  const foundation::Duration took = foundation::SteadyNow() - sentAt;
  CHECK((took >= EntryContext().hostLostAfter_) == !answered);
}

TEST_CASE("a request in progress when its host stops gets a complete answer",
          "[entrysession]")
{
  struct Row
  {
    std::string sql_;
    bool inTransaction_;
    std::string outcome_; //!< SQLSTATE
  };
  const auto row = GENERATE(values<Row>({
    { "INSERT INTO t VALUES (1)", false, "08007" },
    { "SELECT n FROM t", false, "40003" },
    { "INSERT INTO t VALUES (1)", true, "40003" },
    { "COMMIT", true, "08007" },
  }));
  ShardFixture fixture;
  fixture.Connect();
  if (row.inTransaction_) {
    fixture.BeginTransaction();
  }
  fixture.Query(row.sql_);
  fixture.NextRequest();
  fixture.shard_->AbandonRequests();
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK(answer.find(row.outcome_) != std::string::npos);
  CHECK(answer.ends_with(kReady + "I"));
  CHECK(fixture.NextClose("h1"));
}

TEST_CASE("a read goes to the next owner when its owner has restarted",
          "[entrysession]")
{
  const std::string sql =
    GENERATE("SELECT n FROM t", "SELECT n FROM t FOR UPDATE", "BEGIN");
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query(sql);
  fixture.NextRequest();
  fixture.shard_->OnHostRestarted("h1", 2);
  CHECK(fixture.NextRequest().first == "h2");
}

TEST_CASE(
  "an owner knows the requests that have arrived, and runs none that it "
  "has denied",
  "[trafficshard]")
{
  struct Row
  {
    std::uint64_t arrived_; //!< last request before the check; 0: none
    std::uint64_t checked_;
    bool known_;
  };
  const auto row = GENERATE(values<Row>({
    { 0, 3, false },
    { 2, 3, false },
    { 3, 3, true },
    { 4, 3, true },
  }));
  ShardFixture fixture;
  fixture.shard_->GetOrCreateOwner("g");
  const auto makeMessage = [] {
    wire::PeerMessage message;
    message.set_from("other");
    message.set_boot(1);
    return message;
  };
  const auto sendRequest = [&](std::uint64_t aNumber) {
    wire::PeerMessage message = makeMessage();
    message.mutable_forward_request()->set_group("g");
    message.mutable_forward_request()->set_session(5);
    message.mutable_forward_request()->set_request(aNumber);
    fixture.shard_->OnPeerMessage(std::move(message));
  };
  if (row.arrived_ != 0) {
    sendRequest(row.arrived_);
  }
  fixture.port_.sent_.clear();
  wire::PeerMessage message = makeMessage();
  message.mutable_forward_check()->set_group("g");
  message.mutable_forward_check()->set_session(5);
  message.mutable_forward_check()->set_request(row.checked_);
  fixture.shard_->OnPeerMessage(std::move(message));
  REQUIRE(fixture.port_.sent_.size() == 1);
  const auto& checked = fixture.port_.sent_.back().second.forward_checked();
  CHECK(checked.session() == 5);
  CHECK(checked.request() == row.checked_);
  CHECK(checked.boot() == 1);
  CHECK(checked.known() == row.known_);
  fixture.port_.sent_.clear();
  sendRequest(row.checked_);
  CHECK(fixture.port_.sent_.empty());
}

TEST_CASE("a transaction ends when its owner is no longer the owner",
          "[entrysession]")
{
  const std::string sql =
    GENERATE("INSERT INTO t VALUES (1)", "SELECT n FROM t", "COMMIT");
  ShardFixture fixture;
  fixture.Connect();
  fixture.BeginTransaction();
  fixture.Query(sql);
  fixture.AnswerNotOwner(fixture.NextRequest().second);
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK(answer.find("40003") != std::string::npos);
  CHECK(answer.ends_with("I"));
}

TEST_CASE("a statement fails if the transaction's owner was lost before it",
          "[entrysession]")
{
  ShardFixture fixture;
  fixture.Connect();
  fixture.BeginTransaction();
  fixture.shard_->OnHostLost("h1");
  fixture.Query("INSERT INTO t VALUES (1)");
  CHECK(fixture.ReadUntil(kReady).find("40003") != std::string::npos);
}

// The floor is the minimum log position that a session's reads must see.
TEST_CASE("an acknowledged position becomes the session's floor",
          "[entrysession]")
{
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query("INSERT INTO t VALUES (1)");
  const auto [host, request] = fixture.NextRequest();
  CHECK(request.needs_fresh_floor());
  wire::ForwardEnd end = fixture.MakeEnd(request, wire::OUTCOME_DONE);
  end.mutable_position()->set_term(3);
  end.mutable_position()->set_offset(77);
  fixture.SendEnd(end);
  const std::string answer = fixture.ReadUntil(kReady);
  CHECK(answer.find("wigeonlb.session") != std::string::npos);
  fixture.Query("SELECT n FROM t");
  const auto [next, read] = fixture.NextRequest();
  CHECK(read.floor().term() == 3);
  CHECK(read.floor().offset() == 77);
  CHECK_FALSE(read.needs_fresh_floor());
}

TEST_CASE(
  "an owner is told again what was given up until it confirms it or gets "
  "a later request",
  "[entrysession]")
{
  struct Row
  {
    std::string sql_;
    bool inTransaction_;
    bool confirmed_;
  };
  const auto row = GENERATE(values<Row>({
    { "BEGIN", false, true },
    { "BEGIN", false, false },
    { "SELECT n FROM t", false, true },
    { "INSERT INTO t VALUES (1)", false, true },
    { "INSERT INTO t VALUES (1)", true, true },
    { "", true, true },
  }));
  ShardFixture fixture;
  fixture.Connect();
  std::uint64_t last = 0;
  if (row.inTransaction_) {
    last = fixture.BeginTransaction();
  }
  if (!row.sql_.empty()) {
    fixture.Query(row.sql_);
    last = fixture.NextRequest().second.request();
  }
  fixture.shard_->OnHostLost("h1");
  for (int times = 0; times < 2; ++times) {
    const auto close = fixture.NextClose("h1");
    REQUIRE(close.has_value());
    CHECK(close->request() == last);
    CHECK(close->confirm());
  }
  if (row.confirmed_) {
    fixture.ConfirmClose("h1", last);
  } else {
    fixture.AnswerNotOwner(fixture.NextRequest().second);
    fixture.ReadUntil(kReady);
    fixture.Query("SELECT n FROM t");
    CHECK(fixture.NextRequest().first == "h1");
  }
  fixture.port_.sent_.clear();
  CHECK_FALSE(fixture.NextClose("h1", std::chrono::milliseconds(1000)));
}

TEST_CASE("a disconnect closes the session at every owner that it used",
          "[entrysession]")
{
  ShardFixture fixture;
  fixture.Connect();
  fixture.Query("SELECT n FROM t");
  fixture.NextRequest();
  fixture.shard_->OnHostLost("h1");
  fixture.NextRequest();
  fixture.client_.close();
  CHECK(fixture.NextClose("h1"));
  CHECK(fixture.NextClose("h2"));
}

} // namespace wigeonlb::daemon::traffic
