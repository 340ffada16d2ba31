#include <catch2/catch.hpp>

#include "core/consensus/memberplan.h"
#include "core/consensus/tests/simulatednetwork.h"

namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using foundation::Instant;
using namespace std::chrono_literals;

constexpr Instant kNow{ 1000s };

//! State of the leader of three voters.
struct Fixture
{
  ConsensusState state_;

  Fixture()
  {
    state_.settings_.self_ = "a";
    state_.role_ = Role::Leader;
    state_.hardState_.set_term(1);
    state_.leadingSince_ = kNow - 60s;
    wire::MemberChange members;
    for (const char* host : { "a", "b", "c" }) {
      members.add_voters(host);
    }
    state_.log_.members_ = { { 0, members } };
    wire::ConsensusEntry entry;
    entry.set_index(1);
    entry.set_term(1);
    Append(state_.log_, entry);
    state_.commitIndex_ = 1;
    for (const char* host : { "b", "c" }) {
      SetLastAnswer(host, 0s);
    }
  }

  //! Sets the time since the last answer of a host that has the whole log.
  void SetLastAnswer(const HostId& aHost, foundation::Duration aAgo)
  {
    Progress& progress = state_.progress_[aHost];
    progress.answeredSentAt_ = kNow - aAgo;
    progress.unansweredRounds_ =
      static_cast<int>(aAgo / state_.settings_.heartbeatInterval_) + 1;
    progress.match_ = 1;
    progress.jointQuorums_ = true;
  }

  void AddLearner(const HostId& aHost, bool aCaughtUp)
  {
    state_.log_.members_.back().second.add_learners(aHost);
    SetLastAnswer(aHost, 0s);
    state_.progress_[aHost].match_ = aCaughtUp ? 1 : 0;
    // As each host that has never been a voter.
    state_.progress_[aHost].incarnation_ = 7;
    state_.progress_[aHost].recovering_ = true;
  }
};

std::string
ToText(const MemberPlan& aPlan)
{
  if (aPlan.step_ == MemberStep::None) {
    return "none";
  }
  std::string text;
  for (const auto& host : aPlan.members_.voters()) {
    text += host;
  }
  text += "/";
  for (const auto& host : aPlan.members_.learners()) {
    text += host;
  }
  if (IsJoint(aPlan.members_)) {
    text += "/";
  }
  for (const auto& host : aPlan.members_.outgoing_voters()) {
    text += host;
  }
  return text;
}

} // namespace

TEST_CASE("members are changed one step at a time", "[consensus][members]")
{
  struct Row
  {
    std::vector<HostId> live_;
    //! Learners, and whether each has caught up.
    std::vector<std::pair<HostId, bool>> learners_;
    std::vector<HostId> unresponsive_;
    std::size_t voters_;
    std::string step_; //!< expected voters, learners and outgoing voters
    std::vector<HostId> leaving_;
    std::vector<HostId> earlierVersion_;
  };
  const auto row = GENERATE(values<Row>({
    { { "a", "b", "c" }, {}, {}, 3, "none" },
    { { "a", "b", "c", "d" }, {}, {}, 3, "abc/d" },
    { { "a", "b", "c", "d" }, { { "d", true } }, {}, 3, "none" },
    // A voter and its successor change places in one change.
    { { "a", "b", "d" }, { { "d", true } }, { "c" }, 3, "abd/c/abc" },
    { { "a", "b", "d" }, { { "d", true } }, { "c" }, 5, "abd/c/abc" },
    { { "a", "b", "d" }, { { "d", false } }, { "c" }, 3, "none" },
    { { "a", "b" }, {}, { "c" }, 3, "none" },
    { { "a", "b", "c", "d", "e" },
      { { "d", true }, { "e", true } },
      {},
      5,
      "abcde//abc" },
    { { "a", "b", "c", "d" }, { { "d", true } }, {}, 5, "abcd/" },
    { { "a", "b" }, {}, { "c" }, 2, "ab/c" },
    // One that is to stop hands its vote over, the leader too.
    { { "a", "b", "c", "d" }, { { "d", true } }, {}, 3, "acd/b/abc", { "b" } },
    { { "a", "b", "c", "d" }, { { "d", true } }, {}, 3, "bcd/a/abc", { "a" } },
    { { "a", "b", "c" }, {}, {}, 3, "none", { "b" } },
    { { "a", "b", "c", "d" }, { { "d", true } }, {}, 3, "none", { "d" } },
    { { "a", "b", "c", "d" }, { { "d", true } }, {}, 3, "none", { "b", "d" } },
    // Of two, the one that may be gone is replaced first.
    { { "a", "c", "d" }, { { "d", true } }, { "c" }, 3, "abd/c/abc", { "b" } },
    // Members of an earlier version would count quorums wrongly, but one that
    // does not answer is not asked.
    { { "a", "b", "d" }, { { "d", true } }, { "c" }, 3, "none", {}, { "b" } },
    { { "a", "b", "d" }, { { "d", true } }, { "c" }, 3, "none", {}, { "d" } },
    { { "a", "b", "d" },
      { { "d", true } },
      { "c" },
      3,
      "abd/c/abc",
      {},
      { "c" } },
    { { "a", "b", "c", "d", "e" },
      { { "d", true }, { "e", true } },
      {},
      5,
      "abcd/e",
      {},
      { "b" } },
  }));
  Fixture fixture;
  for (const auto& [host, caughtUp] : row.learners_) {
    fixture.AddLearner(host, caughtUp);
  }
  for (const auto& host : row.unresponsive_) {
    fixture.SetLastAnswer(host, kVoterTimeoutMs);
  }
  for (const auto& host : row.leaving_) {
    fixture.state_.leaving_ = fixture.state_.leaving_ || host == "a";
    fixture.state_.progress_[host].leaving_ = true;
  }
  for (const auto& host : row.earlierVersion_) {
    fixture.state_.progress_[host].jointQuorums_ = false;
  }
  std::vector<MemberCandidate> live;
  for (const auto& host : row.live_) {
    live.push_back({ host, host + ":1" });
  }
  CHECK(ToText(PlanMembers(fixture.state_, live, row.voters_, kNow)) ==
        row.step_);
}

// Guards against a list of members that keeps each host that was ever replaced.
TEST_CASE("a learner that is gone for long is removed", "[consensus][members]")
{
  struct Row
  {
    foundation::Duration silence_;
    bool isLive_;
    bool isVoterSilent_;
    std::string step_;
  };
  const auto row = GENERATE(values<Row>({
    { 1s, false, false, "none" },
    { kLearnerTimeoutMs - 1s, false, false, "none" },
    { kLearnerTimeoutMs, false, false, "abc/d" },
    { kLearnerTimeoutMs, true, false, "none" },
    // The voter is replaced first.
    { kLearnerTimeoutMs, false, true, "abd/ec/abc" },
  }));
  Fixture fixture;
  fixture.state_.leadingSince_ = kNow - 2 * kLearnerTimeoutMs;
  fixture.AddLearner("d", true);
  fixture.AddLearner("e", true);
  auto& members = fixture.state_.log_.members_.back().second;
  (*members.mutable_addresses())["e"] = "e:1";
  (*members.mutable_incarnations())["e"] = 7;
  fixture.SetLastAnswer("e", row.silence_);
  if (row.isVoterSilent_) {
    fixture.SetLastAnswer("c", kVoterTimeoutMs);
  }
  std::vector<MemberCandidate> live{ { "a", "a:1" }, { "d", "d:1" } };
  if (row.isLive_) {
    live.push_back({ "e", "e:1" });
  }
  const MemberPlan plan = PlanMembers(fixture.state_, live, 3, kNow);
  CHECK(ToText(plan) == row.step_);
  if (plan.step_ == MemberStep::RemoveLearner) {
    CHECK_FALSE(plan.members_.addresses().contains("e"));
    CHECK_FALSE(plan.members_.incarnations().contains("e"));
  }
}

// Guards against a list of incarnations that keeps each host that ever voted.
TEST_CASE("a change of members keeps the incarnations of members only",
          "[consensus][members]")
{
  Fixture fixture;
  fixture.AddLearner("d", true);
  auto& incarnations =
    *fixture.state_.log_.members_.back().second.mutable_incarnations();
  incarnations["b"] = 5;
  incarnations["d"] = 6;
  incarnations["gone"] = 7;
  wire::ControlRecord record;
  *record.mutable_members() = Members(fixture.state_);
  std::vector<Action> actions;
  Step(fixture.state_, Propose{ record, 0 }, kNow, actions);
  const auto& kept = CurrentMembers(fixture.state_.log_).incarnations();
  CHECK(kept.size() == 2);
  CHECK(kept.contains("b"));
  CHECK(kept.contains("d"));
}

// Guards against the removal of a learner that this leader has not asked yet.
TEST_CASE("a leader that has just been elected removes no learner",
          "[consensus][members]")
{
  Fixture fixture;
  fixture.AddLearner("d", true);
  fixture.SetLastAnswer("d", 2 * kLearnerTimeoutMs);
  CHECK(ToText(PlanMembers(fixture.state_, {}, 3, kNow)) == "none");
}

// Guards against a moment between two steps in which the group has fewer voters
// than it needs (issue 54).
TEST_CASE(
  "a voter's place is taken by a learner with an empty disk in one change",
  "[consensus][members]")
{
  Fixture fixture;
  fixture.AddLearner("d", true);
  fixture.SetLastAnswer("c", kVoterTimeoutMs);
  const MemberPlan plan = PlanMembers(fixture.state_, {}, 3, kNow);
  CHECK(ToText(plan) == "abd/c/abc");
  CHECK(HasWantedQuorum(plan.members_, 3));
  // No other change before this one is complete.
  fixture.state_.log_.members_.back().second = plan.members_;
  CHECK(ToText(PlanMembers(fixture.state_, {}, 3, kNow)) == "none");
}

TEST_CASE("a leader that was held up itself replaces nobody",
          "[consensus][members]")
{
  Fixture fixture;
  fixture.AddLearner("d", true);
  fixture.SetLastAnswer("c", 10s);
  fixture.state_.progress_["c"].unansweredRounds_ = 1;
  CHECK(ToText(PlanMembers(fixture.state_, {}, 3, kNow)) == "none");
}

// Guards against a successor that missed the change which adds it and stays out
// of elections after the next one (issue 54).
TEST_CASE("a recovering host votes by a change that is known to be committed",
          "[consensus][members]")
{
  struct Row
  {
    std::vector<std::uint64_t> admitted_; //!< by each change; 0: not a voter
    std::uint64_t voting_;
  };
  const auto row = GENERATE(values<Row>({
    { { 0 }, 0 },
    { { 7 }, 7 },
    { { 0, 7 }, 7 },    // added by the latest change
    { { 0, 7, 7 }, 7 }, // added before, and kept
    { { 7, 0 }, 0 },
    { { 7, 8 }, 0 }, // readmitted by a change that may not be committed
    { { 7, 8, 8 }, 8 },
  }));
  ReplicatedLog log;
  for (const std::uint64_t incarnation : row.admitted_) {
    wire::MemberChange members;
    members.add_voters("a");
    if (incarnation != 0) {
      members.add_voters("d");
      (*members.mutable_incarnations())["d"] = incarnation;
    }
    log.members_.emplace_back(log.members_.size(), members);
  }
  CHECK(GetVotingIncarnation(log, "d") == row.voting_);
}

TEST_CASE("a quorum on as many disks as the wanted one is enough",
          "[consensus][members]")
{
  const auto [voters, wanted, enough] =
    GENERATE(table<std::size_t, std::size_t, bool>({ { 1, 3, false },
                                                     { 2, 3, true },
                                                     { 3, 3, true },
                                                     { 4, 3, true },
                                                     { 3, 5, false },
                                                     { 4, 5, true } }));
  wire::MemberChange members;
  for (std::size_t i = 0; i < voters; ++i) {
    members.add_voters(std::to_string(i));
  }
  CHECK(HasWantedQuorum(members, wanted) == enough);
  // The outgoing voters need one, too.
  members.add_outgoing_voters("0");
  CHECK_FALSE(HasWantedQuorum(members, wanted));
}

TEST_CASE("an uncommitted change delays the next one", "[consensus][members]")
{
  Fixture fixture;
  fixture.state_.log_.members_.push_back(
    { 2, fixture.state_.log_.members_.back().second });
  const MemberCandidate live[] = { { "d", "d:1" } };
  CHECK(PlanMembers(fixture.state_, live, 3, kNow).step_ == MemberStep::None);
}

TEST_CASE("the recorded founders take precedence over later settings",
          "[consensus][members]")
{
  ConsensusSettings settings;
  settings.self_ = "a";
  settings.founders_ = { "x", "y", "z" };
  wire::HardState hardState;
  for (const char* host : { "a", "b", "c" }) {
    hardState.mutable_founders()->add_voters(host);
  }
  const auto state = MakeConsensusState(settings, hardState, {}, {}, kNow);
  CHECK(Members(state).voters(0) == "a");
  CHECK(Members(state).voters_size() == 3);
}

TEST_CASE("a host that is not a founder waits for a leader",
          "[consensus][members]")
{
  ConsensusSettings settings;
  settings.self_ = "a";
  auto state = MakeConsensusState(settings, std::nullopt, {}, {}, kNow);
  std::vector<Action> actions;
  Step(state, Tick{}, kNow + 60s, actions);
  CHECK(actions.empty());
  CHECK(IsRecovering(state));
}

TEST_CASE("the number of voters follows from the tolerated losses",
          "[consensus][members]")
{
  const auto [losses, voters] = GENERATE(table<std::size_t, std::size_t>(
    { { 0, 3 }, { 1, 3 }, { 2, 5 }, { 3, 7 }, { 9, 7 } }));
  CHECK(ComputeVoterCount(losses) == voters);
}

} // namespace wigeonlb::core::consensus
