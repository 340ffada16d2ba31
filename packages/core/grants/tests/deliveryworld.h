#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "core/configuration/delivery.h"
#include "core/configuration/hostconfiguration.h"
#include "core/grants/holder.h"
#include "core/grants/tests/configurationdelivery.h"

//! The state of a schedule of configurationdelivery.h.
namespace wigeonlb::core::grants::delivery {

using configuration::HostConfiguration;
using foundation::HostId;
using foundation::Instant;
using foundation::Revision;

//! A control member: the revision that it has applied, and what it has sent.
struct Member
{
  HostId id_;
  bool up_ = true;
  Revision applied_ = 0;
  configuration::Delivery delivery_;
};

struct Host
{
  HostId id_;
  HolderState holder_;
  HostConfiguration configuration_;
  Instant goesOnAt_;           //!< stands still until then
  Instant cutUntil_;           //!< reaches no other host until then
  wire::MemberChange members_; //!< as last told
  Revision highest_ = 0;       //!< in force since the present start
};

struct Message
{
  Instant at_;
  HostId to_;
  std::optional<wire::Heartbeat> heartbeat_;
  std::optional<wire::HeartbeatReply> reply_;
};

struct World
{
  std::mt19937_64 random_;
  ScheduleSettings settings_;
  Instant now_{ std::chrono::hours(1) };
  Instant calmAt_;
  Instant nextLossAt_;
  std::vector<wire::ControlState> history_{ 1 }; //!< by revision
  std::vector<Instant> decidedAt_{ Instant{} };
  std::map<HostId, Member> members_;
  wire::MemberChange current_;
  std::uint64_t membersIndex_ = 1;
  HostId leader_; //!< empty: none
  int lastMember_ = 0;
  std::uint64_t lastBoot_ = 0;
  std::vector<Host> hosts_;
  std::vector<Message> messages_;
  Violations violations_;
};

//! A number below aBelow, by the schedule's seed.
std::uint64_t
Draw(World& aWorld, std::uint64_t aBelow);

//! Whether the trouble is over.
bool
IsCalm(const World& aWorld);

Revision
Newest(const World& aWorld);

//! The newest revision that was decided on at a time.
Revision
NewestAt(const World& aWorld, Instant aAt);

//! The voters, then the learners.
std::vector<HostId>
ListMembers(const wire::MemberChange& aMembers);

} // namespace wigeonlb::core::grants::delivery
