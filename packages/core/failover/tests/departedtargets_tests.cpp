#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>

#include "core/failover/tests/singleleader.h"

// Groups whose writes are acknowledged once one replica has received them, and
// whose replicas end, are deaf for a while and are succeeded.
namespace wigeonlb::core::failover {

namespace {

using foundation::Duration;
using namespace std::chrono_literals;

constexpr Duration kStepMs = 100ms;

//! A group with its servers' replication.
struct Play
{
  Leader leader_;
  std::map<std::string, bool> deaf_;
  std::set<std::string> ended_;
  std::uint64_t acknowledged_ = 0;
  int successors_ = 0;
  std::string lost_; //!< a choice that lacked an acknowledged write
};

Play
MakePlay()
{
  Play play;
  play.leader_.acknowledge_ = "one_replica";
  for (const char* name : { "a", "b", "c" }) {
    play.leader_.servers_[name] = { .offset_ = 110,
                                    .address_ = std::string(name) + ":1" };
  }
  play.leader_.servers_["b"].primary_ = true;
  play.acknowledged_ = 110;
  return play;
}

//! The server that leads the highest term, up or not.
std::string
FindPrimary(const Play& aPlay)
{
  std::string found;
  std::uint64_t term = 0;
  for (const auto& [name, server] : aPlay.leader_.servers_) {
    if (server.primary_ && server.adopted_ > term) {
      found = name;
      term = server.adopted_;
    }
  }
  return found;
}

bool
Receives(const Play& aPlay, const std::string& aName)
{
  const auto deaf = aPlay.deaf_.find(aName);
  return aPlay.leader_.servers_.at(aName).answers_ &&
         (deaf == aPlay.deaf_.end() || !deaf->second);
}

//! The primary writes; what a replica receives is acknowledged.
void
Replicate(Play& aPlay)
{
  auto& servers = aPlay.leader_.servers_;
  Server& primary = servers[FindPrimary(aPlay)];
  if (!primary.answers_) {
    return;
  }
  primary.offset_ += 3;
  for (auto& [name, server] : servers) {
    if (&server == &primary || !Receives(aPlay, name)) {
      continue;
    }
    server.offset_ = primary.offset_;
    server.adopted_ = primary.adopted_;
    server.primary_ = false;
    aPlay.acknowledged_ = primary.offset_;
  }
}

void
CheckChoices(Play& aPlay, std::size_t aBefore)
{
  const auto& chosen = aPlay.leader_.chosen_;
  for (std::size_t i = aBefore; i < chosen.size(); ++i) {
    if (aPlay.leader_.servers_.at(chosen[i]).offset_ < aPlay.acknowledged_) {
      aPlay.lost_ = chosen[i];
    }
  }
}

void
Advance(Play& aPlay, Duration aTime)
{
  const auto end = aPlay.leader_.now_ + aTime;
  while (aPlay.leader_.now_ < end) {
    // No write is served while the group is fenced.
    if (!GetGroup(aPlay.leader_).fenced()) {
      Replicate(aPlay);
    }
    for (const auto& [name, server] : aPlay.leader_.servers_) {
      if (server.answers_) {
        Announce(aPlay.leader_, name, false);
      }
    }
    const std::size_t before = aPlay.leader_.chosen_.size();
    RunFor(aPlay.leader_, kStepMs);
    CheckChoices(aPlay, before);
  }
}

void
Begin(Play& aPlay)
{
  RunLive(aPlay.leader_, 0ms);
  Advance(aPlay, 2s);
}

//! A replica says that it ends, and ends.
void
End(Play& aPlay, const std::string& aName)
{
  Replicate(aPlay);
  aPlay.leader_.servers_[aName].answers_ = false;
  aPlay.ended_.insert(aName);
  Announce(aPlay.leader_, aName, true);
}

//! A new server has the log of one that ended, at its address.
void
Succeed(Play& aPlay, const std::string& aName)
{
  const std::string name = "n" + std::to_string(++aPlay.successors_);
  Server server = aPlay.leader_.servers_[aName];
  server.answers_ = true;
  server.primary_ = false;
  aPlay.leader_.servers_[name] = server;
  aPlay.ended_.erase(aName);
}

//! What returns after the primary has crashed.
enum class Return
{
  Nothing,
  Primary,
  Successor,
};

struct Case
{
  std::string name_;
  bool deaf_ = true;         //!< the other replica, as one ends
  Duration crashAfter_ = 0s; //!< after the end
  Duration hearsAfter_ = 0s; //!< after the end; zero: not before the return
  bool changesLeader_ = false;
  Return return_ = Return::Nothing;
  std::string primary_; //!< expected in the end
};

} // namespace

// Guards against a commit that only a replica that is gone had received
// (issue 54, review/7).
TEST_CASE("what a departed replica may have received alone is waited for",
          "[onereplica][departed]")
{
  const auto row = GENERATE(values<Case>({
    { "nothing returns", true, 700ms, 0s, false, Return::Nothing, "b" },
    { "a crash right at the end", true, 0s, 0s, false, Return::Nothing, "b" },
    { "another leader", true, 700ms, 0s, true, Return::Nothing, "b" },
    { "the primary returns", true, 700ms, 0s, false, Return::Primary, "c" },
    { "the primary returns to another leader",
      true,
      700ms,
      0s,
      true,
      Return::Primary,
      "c" },
    { "a successor comes", true, 700ms, 0s, false, Return::Successor, "n1" },
    { "a successor comes to another leader",
      true,
      700ms,
      0s,
      true,
      Return::Successor,
      "n1" },
    // In sound days the other replica goes on at once.
    { "the other replica has caught up",
      true,
      4s,
      500ms,
      false,
      Return::Nothing,
      "c" },
    { "the other replica was never deaf",
      false,
      3s,
      0s,
      true,
      Return::Nothing,
      "c" },
  }));
  INFO(row.name_);
  Play play = MakePlay();
  Begin(play);
  play.deaf_["c"] = row.deaf_;
  Advance(play, 1s);
  End(play, "a");
  if (row.hearsAfter_ > 0s) {
    Advance(play, row.hearsAfter_);
    play.deaf_["c"] = false;
  }
  Advance(play, row.crashAfter_ - row.hearsAfter_);
  play.leader_.servers_["b"].answers_ = false;
  Advance(play, 1s);
  if (row.changesLeader_) {
    ChangeLeader(play.leader_);
  }
  Advance(play, 3s);
  if (row.return_ == Return::Primary) {
    play.leader_.servers_["b"].answers_ = true;
    play.deaf_["c"] = false;
    // The primary runs again, and its replicas receive.
    play.leader_.servers_["c"].offset_ = play.leader_.servers_["b"].offset_;
  } else if (row.return_ == Return::Successor) {
    Succeed(play, "a");
  }
  Advance(play, 5s);
  INFO(GetWaitingReason(play.leader_.state_, "g"));
  CHECK(play.lost_.empty());
  CHECK(GetGroup(play.leader_).primary() == row.primary_);
  CHECK(GetGroup(play.leader_).fenced() == (row.primary_ == "b"));
}

namespace {

//! One random event.
void
PlayEvent(Play& aPlay, std::mt19937& aRandom)
{
  std::vector<std::string> replicas;
  for (const auto& [name, server] : aPlay.leader_.servers_) {
    if (!server.primary_ && server.answers_) {
      replicas.push_back(name);
    }
  }
  Server& primary = aPlay.leader_.servers_[FindPrimary(aPlay)];
  switch (aRandom() % 8) {
    case 0:
    case 1:
      if (!replicas.empty()) {
        bool& deaf = aPlay.deaf_[replicas[aRandom() % replicas.size()]];
        deaf = !deaf;
      }
      return;
    case 2:
      if (replicas.size() > 1) {
        const std::string& ending = replicas[aRandom() % replicas.size()];
        const bool deaf = aRandom() % 2 == 0;
        for (const std::string& other : replicas) {
          aPlay.deaf_[other] = deaf && other != ending;
        }
        Advance(aPlay, 500ms);
        End(aPlay, ending);
      }
      return;
    case 3:
      if (!aPlay.ended_.empty()) {
        Succeed(aPlay, *aPlay.ended_.begin());
      }
      return;
    case 4:
      primary.answers_ = !primary.answers_;
      return;
    case 5:
      ChangeLeader(aPlay.leader_);
      return;
    default:
      aPlay.deaf_.clear();
      return;
  }
}

Play
PlayAtRandom(std::uint64_t aSeed, const Guards& aGuards)
{
  constexpr int kEvents = 40;
  Play play = MakePlay();
  play.leader_.guards_ = aGuards;
  std::mt19937 random(static_cast<std::uint32_t>(aSeed));
  Begin(play);
  for (int i = 0; i < kEvents && play.lost_.empty(); ++i) {
    PlayEvent(play, random);
    Advance(play, std::chrono::milliseconds(100 + random() % 1500));
  }
  return play;
}

constexpr std::uint64_t kSeeds = 60;

} // namespace

TEST_CASE("no choice lacks an acknowledged write while replicas end, are deaf "
          "and are succeeded",
          "[onereplica][departed]")
{
  const char* text = std::getenv("WIGEONLB_SCHEDULES");
  const std::uint64_t seeds = text ? std::strtoull(text, nullptr, 10) : kSeeds;
  std::size_t choices = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const Play play = PlayAtRandom(seed, {});
    choices += play.leader_.chosen_.size();
    INFO("seed " << seed);
    CHECK(play.lost_.empty());
  }
  CHECK(choices > 0);
}

TEST_CASE("random orders show that departed targets must bound the choice",
          "[onereplica][departed][guard]")
{
  bool found = false;
  for (std::uint64_t seed = 1; seed <= kSeeds && !found; ++seed) {
    found = !PlayAtRandom(seed, { .departedBounds_ = false }).lost_.empty();
  }
  CHECK(found);
}

} // namespace wigeonlb::core::failover
