#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/configuration/configurationview.h"
#include "core/consensus/tests/simulatednetwork.h"
#include "core/failover/failover.h"
#include "core/failover/tests/simulatedtarget.h"
#include "core/grants/holder.h"
#include "core/grants/leaderwaiters.h"
#include "foundation/tokenbucket.h"

//! The control plane of a large fleet in virtual time: control members over a
//! simulated consensus network, entry hosts with the holder's logic, and
//! targets that are only read and promoted.
namespace wigeonlb::core::failover {

//! How the replies to heartbeats are sent.
enum class ReplyPath
{
  //! The whole configuration goes in a message of its own, which waits for the
  //! byte budget.
  ConfigurationApart,
  //! The reply carries the whole configuration and waits for the budget, which
  //! all control messages use. This left hosts without a reply for good.
  OneBudget,
};

struct FleetSettings
{
  std::size_t hosts_ = 0;
  std::size_t groups_ = 20;
  std::uint64_t seed_ = 1;
  ReplyPath replyPath_ = ReplyPath::ConfigurationApart;
};

//! What control members did. A step is the handling of one event, from its
//! arrival to the last message that it causes.
struct Work
{
  std::uint64_t messages_ = 0; //!< handled and produced
  std::uint64_t entries_ = 0;  //!< of the log: sent, written and applied
  std::uint64_t bytes_ = 0;    //!< of replies to heartbeats
};

//! Work since the start of a phase.
struct WorkCount
{
  Work total_;
  Work longest_; //!< of all steps, each figure by itself
};

struct FleetMember
{
  foundation::HostId name_;
  FailoverState state_;
  grants::LeaderWaiters waiters_;
  foundation::HostId leaderHint_;
  bool leading_ = false;
  std::uint64_t appliedTerm_ = 0;
  std::uint64_t firstIndexOfTerm_ = 0;
  std::map<foundation::HostId, foundation::Revision> inForce_;
  std::map<foundation::HostId, foundation::Instant> wholeSentAt_;
  foundation::TokenBucket budget_;
  //! Messages that wait for the budget; a later one to the same host replaces
  //! an earlier one.
  std::map<foundation::HostId, wire::HeartbeatReply> waiting_;
  std::vector<wire::ControlRecord> proposals_;
  Work step_; //!< of the event that is being handled
};

struct FleetHost
{
  grants::HolderState holder_;
  configuration::ConfigurationView view_;
  std::uint64_t boots_ = 0;
  bool up_ = false;
  //! Last reply of a leader, or the start of the host.
  foundation::Instant answeredAt_;
};

struct Fleet
{
  FleetSettings settings_;
  std::mt19937_64 random_;
  consensus::SimulatedNetwork network_; //!< has the virtual clock
  std::map<foundation::HostId, FleetMember> members_;
  std::vector<FleetHost> hosts_;
  std::map<foundation::HostId, std::size_t> hostIndexes_;
  std::map<foundation::GroupName, std::vector<SimulatedTarget>> groups_;
  std::multimap<foundation::Instant, std::function<void()>> queue_;
  std::uint64_t steps_ = 0; //!< of the clock
  WorkCount work_;
  foundation::Duration longestUnanswered_{ 0 };
};

foundation::Instant
Now(const Fleet& aFleet);

//! Starts the members; the hosts start at random times within kStartSpread.
std::unique_ptr<Fleet>
MakeFleet(const FleetSettings& aSettings);

constexpr foundation::Duration kStartSpread = std::chrono::seconds(2);

//! Advances the clock by one step.
void
Advance(Fleet& aFleet);

//! Runs an action at a later time.
void
After(Fleet& aFleet,
      foundation::Duration aDelay,
      std::function<void()> aAction);

//! Starts a host, with the configuration that it had and without grants.
void
StartHost(Fleet& aFleet, std::size_t aHost);

//! Whether every running host has the leader's list of exactly these hosts and
//! the configuration, and holds the grants of all groups that it owns.
bool
IsSettled(const Fleet& aFleet);

//! Sends an event to a host and carries out its actions.
void
FeedFleetHost(Fleet& aFleet,
              std::size_t aHost,
              const grants::HolderEvent& aEvent);

//! The member that leads and holds its lease, or null.
const FleetMember*
FindLeader(const Fleet& aFleet);

//! Starts a member that was stopped.
void
StartMember(Fleet& aFleet, const foundation::HostId& aMember);

} // namespace wigeonlb::core::failover
