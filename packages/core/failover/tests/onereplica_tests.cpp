#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <iostream>

#include "core/failover/tests/singleleader.h"

// Groups whose targets acknowledge a write once one replica has received it.
// "b" was the primary, "a" and "c" its replicas; in each play the logs are as
// they were when the grants of the term had ended.
namespace wigeonlb::core::failover {

namespace {

//! One target, apart from its offset.
struct State
{
  bool answers_;
  bool leaving_;
  bool refuses_;
};

constexpr State kStates[] = {
  { .answers_ = true, .leaving_ = false, .refuses_ = false },
  { .answers_ = true, .leaving_ = true, .refuses_ = false },
  { .answers_ = true, .leaving_ = false, .refuses_ = true },
  { .answers_ = false, .leaving_ = false, .refuses_ = false },
};

constexpr std::uint64_t kOffsets[] = { 110, 120, 130 };

struct Play
{
  std::map<std::string, Server> servers_;
  std::uint64_t acknowledged_ = 0; //!< end of the last acknowledged write
};

Server
MakeServer(std::uint64_t aOffset, const State& aState)
{
  return { .offset_ = aOffset,
           .answers_ = aState.answers_,
           .refuses_ = aState.refuses_,
           .leaving_ = aState.leaving_ };
}

//! Every combination of offsets, reads, drains and refused promotions. The
//! primary has everything that a replica has received.
std::vector<Play>
ListPlays()
{
  std::vector<Play> plays;
  for (const auto a : kOffsets) {
    for (const auto c : kOffsets) {
      for (const auto tail : { 0, 5 }) {
        for (const State& ofA : kStates) {
          for (const State& ofB : kStates) {
            for (const State& ofC : kStates) {
              const auto acknowledged = std::max(a, c);
              plays.push_back({ { { "a", MakeServer(a, ofA) },
                                  { "b", MakeServer(acknowledged + tail, ofB) },
                                  { "c", MakeServer(c, ofC) } },
                                acknowledged });
            }
          }
        }
      }
    }
  }
  return plays;
}

//! Whether a replica that holds every acknowledged write can be promoted, and
//! the reads show that it holds them; or none has the end of the primary, which
//! then goes on.
bool
CanGoOn(const Play& aPlay)
{
  const auto& servers = aPlay.servers_;
  const auto& primary = servers.at("b");
  const bool othersRead = servers.at("a").answers_ && servers.at("c").answers_;
  const auto bound = primary.answers_
                       ? primary.offset_
                       : (othersRead ? aPlay.acknowledged_ : UINT64_MAX);
  const auto reaches = [&](const auto& aItem) {
    return aItem.first != "b" && aItem.second.answers_ &&
           aItem.second.offset_ >= bound;
  };
  const bool resumes =
    primary.answers_ && std::ranges::none_of(servers, reaches);
  return resumes || std::ranges::any_of(servers, [&](const auto& aItem) {
           return reaches(aItem) && !aItem.second.refuses_;
         });
}

std::string
Describe(const Play& aPlay)
{
  std::string text;
  for (const auto& [name, server] : aPlay.servers_) {
    text += name + " " + std::to_string(server.offset_) +
            (server.answers_ ? "" : " silent") +
            (server.leaving_ ? " leaving" : "") +
            (server.refuses_ ? " refuses" : "") + ", ";
  }
  return text;
}

} // namespace

// Guards against acknowledged writes that are lost by a preference, and against
// a wait without end for a replica that lacks nothing.
TEST_CASE("a replica that may lack an acknowledged write is never promoted",
          "[onereplica]")
{
  std::size_t promotions = 0;
  const auto plays = ListPlays();
  for (const Play& play : plays) {
    INFO(Describe(play));
    Leader leader;
    leader.servers_ = play.servers_;
    leader.servers_.at("b").primary_ = true;
    leader.acknowledge_ = "one_replica";
    RunFenced(leader, std::chrono::seconds(8));
    for (const auto& chosen : leader.chosen_) {
      CHECK(play.servers_.at(chosen).offset_ >= play.acknowledged_);
      CHECK(chosen != "b");
    }
    CHECK(GetGroup(leader).fenced() == !CanGoOn(play));
    promotions += GetGroup(leader).fenced() ? 0 : 1;
  }
  std::cout << "plays: " << plays.size() << ", new primaries: " << promotions
            << '\n';
}

TEST_CASE("a replica is promoted once it has caught up", "[onereplica]")
{
  Leader leader;
  leader.acknowledge_ = "one_replica";
  leader.servers_ = { { "a", { .offset_ = 110 } },
                      { "b", { .offset_ = 130, .leaving_ = true } },
                      { "c", { .offset_ = 130, .answers_ = false } } };
  RunFenced(leader, std::chrono::seconds(3));
  CHECK(leader.chosen_.empty());
  CHECK(GetWaitingReason(leader.state_, "g").find("no replica is sure") == 0);
  leader.servers_.at("a").offset_ = 130;
  Continue(leader, std::chrono::seconds(3));
  CHECK(GetGroup(leader).primary() == "a");
}

} // namespace wigeonlb::core::failover
