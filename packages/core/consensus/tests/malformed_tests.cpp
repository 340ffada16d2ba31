#include <catch2/catch.hpp>

#include <functional>

#include "core/consensus/consensus.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::Instant;
using namespace std::chrono_literals;

constexpr Instant kNow{ 1000s };
constexpr std::uint64_t kTerm = 3;
constexpr std::uint64_t kHuge = ~std::uint64_t{ 0 };
constexpr std::uint64_t kBase = 2;
constexpr std::uint64_t kCommitted = 4;
constexpr std::uint64_t kLast = 6;

wire::ConsensusEntry
MakeEntry(std::uint64_t aIndex, std::uint64_t aTerm = kTerm)
{
  wire::ConsensusEntry entry;
  entry.set_index(aIndex);
  entry.set_term(aTerm);
  return entry;
}

//! Member b of the voters a, b, c. Its log starts after kBase.
ConsensusState
MakeMember()
{
  ConsensusSettings settings;
  settings.self_ = "b";
  settings.founders_ = { "a", "b", "c" };
  wire::HardState hardState;
  hardState.set_term(kTerm);
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(kBase);
  snapshot.set_last_term(kTerm);
  for (const char* host : { "a", "b", "c" }) {
    snapshot.mutable_members()->add_voters(host);
  }
  std::vector<wire::ConsensusEntry> entries;
  for (std::uint64_t index = kBase + 1; index <= kLast; ++index) {
    entries.push_back(MakeEntry(index));
  }
  ConsensusState state =
    MakeConsensusState(settings, hardState, snapshot, entries, kNow);
  state.commitIndex_ = kCommitted;
  return state;
}

//! Makes the member the leader of kTerm; all entries are committed.
void
MakeLeader(ConsensusState& aState)
{
  aState.role_ = Role::Leader;
  aState.leader_ = "b";
  aState.leadingSince_ = kNow - 1s;
  aState.lastLeaderTick_ = kNow;
  aState.quorumContact_ = kNow;
  aState.commitIndex_ = kLast;
  for (const char* host : { "a", "c" }) {
    aState.progress_[host].match_ = kLast;
    aState.progress_[host].next_ = kLast + 1;
    aState.progress_[host].answeredSentAt_ = kNow;
  }
}

wire::ConsensusMessage
MakeMessage(const std::string& aFrom)
{
  wire::ConsensusMessage message;
  message.set_from(aFrom);
  message.set_to("b");
  message.set_term(kTerm);
  return message;
}

std::vector<Action>
Receive(ConsensusState& aState, const wire::ConsensusMessage& aMessage)
{
  std::vector<Action> actions;
  Step(aState, MessageReceived{ aMessage }, kNow, actions);
  return actions;
}

void
CheckLog(const ConsensusState& aState)
{
  std::uint64_t index = aState.log_.baseIndex_;
  for (const wire::ConsensusEntry& entry : aState.log_.entries_) {
    CHECK(entry.index() == ++index);
  }
  CHECK(aState.commitIndex_ <= LastIndex(aState.log_));
}

//! Fills a message of a.
using Fill = std::function<void(wire::ConsensusMessage&)>;

struct Row
{
  const char* what_;
  Fill fill_;
};

} // namespace

TEST_CASE("a follower survives a malformed message", "[consensus][malformed]")
{
  const auto row = GENERATE(values<Row>({
    { "append after the largest index",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_append_request();
        request.set_previous_index(kHuge);
        request.set_previous_term(kTerm);
        request.set_commit_index(kHuge);
        *request.add_entries() = MakeEntry(0);
      } },
    { "append with a gap before its entry",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_append_request();
        request.set_previous_index(kLast);
        request.set_previous_term(kTerm);
        request.set_commit_index(kHuge);
        *request.add_entries() = MakeEntry(kLast + 5);
      } },
    { "append with the largest entry index",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_append_request();
        request.set_previous_index(kLast);
        request.set_previous_term(kTerm);
        *request.add_entries() = MakeEntry(kHuge);
      } },
    { "append with one entry several times",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_append_request();
        request.set_previous_index(kLast);
        request.set_previous_term(kTerm);
        request.set_commit_index(kHuge);
        for (int i = 0; i < 4; ++i) {
          *request.add_entries() = MakeEntry(kLast + 1);
        }
      } },
    { "append of entries that are older than its previous index",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_append_request();
        request.set_previous_index(kLast);
        request.set_previous_term(kTerm);
        request.set_commit_index(kHuge);
        *request.add_entries() = MakeEntry(1);
      } },
    { "append before the log with more entries than the log has",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_append_request();
        request.set_previous_index(1);
        request.set_commit_index(kHuge);
        for (int i = 0; i < 9; ++i) {
          *request.add_entries() = MakeEntry(kBase);
        }
      } },
    { "append without fields",
      [](auto& aMessage) { aMessage.mutable_append_request(); } },
    { "members without voters",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_append_request();
        request.set_previous_index(kLast);
        request.set_previous_term(kTerm);
        auto& entry = *request.add_entries();
        entry = MakeEntry(kLast + 1);
        entry.mutable_record()->mutable_members();
        request.set_commit_index(kLast + 1);
      } },
    { "snapshot part with a wrong offset",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_snapshot_request();
        request.set_last_index(50);
        request.set_last_term(kTerm);
        request.set_offset(kHuge);
        request.set_chunk("x");
        request.set_done(true);
      } },
    { "snapshot that is no control state",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_snapshot_request();
        request.set_last_index(50);
        request.set_last_term(kTerm);
        request.set_chunk("\xff\xff\xff");
        request.set_done(true);
      } },
    { "snapshot without members",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_snapshot_request();
        request.set_last_index(50);
        request.set_last_term(kTerm);
        request.set_done(true);
      } },
    { "snapshot of the largest index",
      [](auto& aMessage) {
        auto& request = *aMessage.mutable_snapshot_request();
        request.set_last_index(kHuge);
        request.set_last_term(kTerm);
        request.mutable_members()->add_voters("b");
        request.set_done(true);
      } },
    { "snapshot without fields",
      [](auto& aMessage) { aMessage.mutable_snapshot_request(); } },
    { "vote request with the largest term",
      [](auto& aMessage) {
        aMessage.set_term(kHuge);
        auto& request = *aMessage.mutable_vote_request();
        request.set_last_index(kHuge);
        request.set_last_term(kHuge);
      } },
    { "pre-vote request with the largest term",
      [](auto& aMessage) {
        aMessage.set_term(kHuge);
        auto& request = *aMessage.mutable_vote_request();
        request.set_pre_vote(true);
      } },
    { "refused vote with the largest term",
      [](auto& aMessage) {
        aMessage.set_term(kHuge);
        aMessage.mutable_vote_reply();
      } },
    { "append with the largest term",
      [](auto& aMessage) {
        aMessage.set_term(kHuge);
        aMessage.mutable_append_request();
      } },
    { "append answer to a follower",
      [](auto& aMessage) {
        aMessage.mutable_append_reply()->set_success(true);
        aMessage.mutable_append_reply()->set_match_index(kHuge);
      } },
    { "no body", [](auto&) {} },
  }));
  INFO(row.what_);
  ConsensusState state = MakeMember();
  wire::ConsensusMessage message = MakeMessage("a");
  row.fill_(message);
  Receive(state, message);
  CheckLog(state);
  CHECK_FALSE(Members(state).voters().empty());
  CHECK(state.hardState_.term() < kHuge);
  // The valid leader still reaches it.
  wire::ConsensusMessage valid = MakeMessage("a");
  valid.set_term(kTerm + 1);
  auto& request = *valid.mutable_append_request();
  request.set_previous_index(kCommitted);
  request.set_previous_term(kTerm);
  request.set_commit_index(kLast);
  *request.add_entries() = MakeEntry(kCommitted + 1);
  *request.add_entries() = MakeEntry(kCommitted + 2);
  bool agreed = false;
  for (const Action& action : Receive(state, valid)) {
    if (const auto* sent = std::get_if<SendMessage>(&action)) {
      agreed |= sent->message_.append_reply().success();
    }
  }
  CHECK(agreed);
  CheckLog(state);
}

TEST_CASE("a leader survives a malformed message", "[consensus][malformed]")
{
  const auto row = GENERATE(values<Row>({
    { "append answer with the largest index",
      [](auto& aMessage) {
        aMessage.mutable_append_reply()->set_success(true);
        aMessage.mutable_append_reply()->set_match_index(kHuge);
      } },
    { "refused append with the largest index",
      [](auto& aMessage) {
        aMessage.mutable_append_reply()->set_match_index(kHuge);
      } },
    { "answer to a request of the future",
      [](auto& aMessage) {
        aMessage.mutable_append_reply()->set_success(true);
        aMessage.mutable_append_reply()->set_match_index(kLast);
        aMessage.mutable_append_reply()->set_round(static_cast<std::uint64_t>(
          (Instant::max() - 1h).time_since_epoch().count()));
      } },
    { "answer to a request of a negative time",
      [](auto& aMessage) {
        aMessage.mutable_append_reply()->set_success(true);
        aMessage.mutable_append_reply()->set_match_index(kLast);
        aMessage.mutable_append_reply()->set_round(kHuge);
      } },
    { "snapshot answer with the largest index",
      [](auto& aMessage) {
        aMessage.mutable_snapshot_reply()->set_last_index(kHuge);
      } },
    { "snapshot answer with the largest offset",
      [](auto& aMessage) {
        aMessage.mutable_snapshot_reply()->set_next_offset(kHuge);
      } },
    { "refused append with the largest term",
      [](auto& aMessage) {
        aMessage.set_term(kHuge);
        aMessage.mutable_append_reply();
      } },
    { "answer of a host that is no member",
      [](auto& aMessage) {
        aMessage.set_from("zz");
        aMessage.mutable_append_reply()->set_success(true);
        aMessage.mutable_append_reply()->set_match_index(kHuge);
      } },
    { "vote answer", [](auto& aMessage) { aMessage.mutable_vote_reply(); } },
    { "past query", [](auto& aMessage) { aMessage.mutable_past_query(); } },
    { "past reply", [](auto& aMessage) { aMessage.mutable_past_reply(); } },
  }));
  INFO(row.what_);
  ConsensusState state = MakeMember();
  MakeLeader(state);
  // From both others, so that a quorum says it.
  for (const char* host : { "a", "c" }) {
    wire::ConsensusMessage message = MakeMessage(host);
    row.fill_(message);
    Receive(state, message);
  }
  CheckLog(state);
  CHECK(state.hardState_.term() < kHuge);
  REQUIRE(IsLeader(state));
  CHECK_FALSE(HoldsLease(state, kNow + state.settings_.electionTimeoutMin_));
  // What is proposed next is committed by the answers to it.
  std::vector<Action> actions;
  Step(state, Propose{ {}, 7 }, kNow, actions);
  for (const char* host : { "a", "c" }) {
    wire::ConsensusMessage message = MakeMessage(host);
    message.mutable_append_reply()->set_success(true);
    message.mutable_append_reply()->set_match_index(kLast + 1);
    message.mutable_append_reply()->set_round(
      static_cast<std::uint64_t>(kNow.time_since_epoch().count()));
    Receive(state, message);
  }
  CHECK(state.commitIndex_ == kLast + 1);
}

} // namespace wigeonlb::core::consensus
