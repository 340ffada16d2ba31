#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/consensus/consensus.h"
#include "storage/memberstore.h"
#include "storage/tests/memoryfilesystem.h"

namespace wigeonlb::core::consensus {

constexpr foundation::Duration kStepMs = std::chrono::milliseconds(10);

//! A file system that may ignore all syncs of a file but the first, to show
//! that the tests see it.
struct TestedFileSystem : storage::MemoryFileSystem
{
  bool syncs_ = true;

  std::error_code Sync(storage::FileHandle aFile) override
  {
    const bool first = open_.at(aFile)->synced_.empty();
    return syncs_ || first ? MemoryFileSystem::Sync(aFile) : std::error_code();
  }
};

//! A control member whose disk takes time; the actions behind a write wait.
struct StoredHost
{
  TestedFileSystem files_;
  storage::DataFolder folder_;
  storage::MemberStore store_;
  ConsensusState consensus_;
  wire::ControlState control_;
  std::deque<Event> events_;
  std::deque<Action> pending_;
  std::optional<foundation::Instant> writtenAt_;
  bool up_ = false;
};

//! When the power is lost: right after an acknowledgement of the leader, while
enum class Moment
{
  Replacing,            //!< a change of places is in the log, not complete
  PromotionPending,     //!< a new voter is in the log, not committed
  PromotionCommitted,   //!< its change is committed and complete
  Recovering,           //!< a blank voter catches up
  ReadmissionPending,   //!< its readmission is in the log, not committed
  ReadmissionCommitted, //!< its readmission is committed
  CountsAgain,          //!< and the leader has heard that its recovery ended
  SnapshotSent,         //!< the leader sends parts of a snapshot
  SnapshotInstalled,    //!< a member writes a received snapshot
};

//! The disk that is lost with the power.
enum class Loss
{
  None,
  Leader,
  Voter,    //!< another voter that was there from the beginning
  Newcomer, //!< the host that is added or was blank
};

//! What happens to the members before.
enum class Beginning
{
  Grow,    //!< to five voters
  Stop,    //!< a voter stops, another host replaces it
  Replace, //!< a voter's disk is lost for good, another host replaces it
  Wipe,    //!< a voter comes back with a blank disk
};

struct Case
{
  std::string name_;
  Beginning start_ = Beginning::Grow;
  Moment moment_ = Moment::PromotionPending;
  Loss loss_ = Loss::None;
  bool syncs_ = true;
  Guards guards_;
};

struct Cluster
{
  Case case_;
  std::uint64_t seed_ = 1;
  std::mt19937 random_;
  foundation::Instant now_;
  std::map<foundation::HostId, StoredHost> hosts_;
  std::vector<std::pair<foundation::Instant, wire::ConsensusMessage>> sent_;
  foundation::HostId newcomer_;
  std::uint64_t starts_ = 0;
  std::uint64_t proposed_ = 0;
  std::uint64_t open_ = 0;
  bool proposes_ = true;
  bool awaitsMoment_ = false;
  bool powerLost_ = false;
  foundation::HostId acknowledgedBy_;
  wire::MemberChange members_; //!< committed when the power was lost
  foundation::Instant planDue_;
  foundation::Instant changeDue_;
  std::set<std::uint64_t> acknowledged_;
  std::uint64_t revision_ = 0; //!< the newest acknowledged one
  std::map<std::uint64_t, wire::ConsensusEntry> committed_;
  std::set<std::string> violations_;
  bool momentCame_ = false;
  bool stopped_ = false; //!< more disks were lost than are tolerated
};

std::string
GroupName(std::uint64_t aNumber);

//! Starts a host from its files.
void
StartHost(Cluster& aCluster, const foundation::HostId& aName);

//! Ends the process; the files stay as they are.
void
StopHost(StoredHost& aHost);
void
LoseFiles(StoredHost& aHost);

//! Executes a write in the way of ConsensusMember.
std::error_code
Write(StoredHost& aHost, const Action& aAction);

//! The member that holds a lease and has done all that it decided, or empty.
foundation::HostId
Leader(const Cluster& aCluster);

//! Runs for the given time or until the power is lost, with changes and with
//! steps of PlanMembers.
void
Run(Cluster& aCluster, foundation::Duration aTime);

//! Runs until there is a leader. Returns false if there is none in time.
bool
AwaitLeader(Cluster& aCluster);

} // namespace wigeonlb::core::consensus
