#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "core/consensus/tests/plannednetwork.h"
#include "storage/memberstore.h"
#include "storage/tests/memoryfilesystem.h"

// Logs of the version before joint quorums, which its hosts have written: of
// two of three voters and a learner. The third voter has lost its disk.
namespace wigeonlb::core::consensus {

namespace {

using foundation::HostId;
using namespace std::chrono_literals;

const std::filesystem::path kFolder =
  std::filesystem::path(WIGEONLB_TEST_DATA) / "former-version";
const HostId kVoters[] = { "127.1.0.4", "127.1.0.6" };
const HostId kLostVoter = "127.1.0.5";
const HostId kLearner = "127.1.0.7";

//! Reads the log of a host as the daemon does at its start.
storage::MemberImage
ReadFormerLog(const HostId& aHost)
{
  std::ifstream file(kFolder / (aHost + ".log"), std::ios::binary);
  REQUIRE(file);
  const std::string bytes{ std::istreambuf_iterator<char>(file), {} };
  storage::MemoryFileSystem files;
  storage::DataFolder folder;
  storage::MemberStore store;
  storage::MemberImage image;
  foundation::Findings findings;
  REQUIRE_FALSE(storage::OpenDataFolder(files, "data", aHost, folder));
  const auto log = std::make_shared<storage::MemoryFile>();
  log->bytes_ = bytes;
  log->synced_ = bytes;
  files.files_["data/log-00000000000000000001"] = log;
  REQUIRE_FALSE(storage::Load(folder, store, image, findings));
  INFO(ToString(findings));
  REQUIRE(findings.empty());
  REQUIRE_FALSE(image.entries_.empty());
  return image;
}

void
StartFromFormerLog(SimulatedNetwork& aNetwork, const HostId& aHost)
{
  const storage::MemberImage image = ReadFormerLog(aHost);
  aNetwork.members_[aHost].disk_ = { image.hardState_,
                                     image.snapshot_,
                                     image.entries_ };
  Start(aNetwork, aHost);
}

} // namespace

// Guards against an upgrade after which no member understands the log.
TEST_CASE(
  "members go on from the log of the former version, and replace a voter",
  "[consensus][formerversion]")
{
  PlannedNetwork planned;
  SimulatedNetwork& network = planned.network_;
  network.settings_.lossPercent_ = 0;
  network.settings_.smallParts_ = false;
  network.random_.seed(network.settings_.seed_);
  for (const HostId& host : kVoters) {
    StartFromFormerLog(network, host);
  }
  StartFromFormerLog(network, kLearner);
  network.members_[kLostVoter].up_ = false;
  const std::uint64_t before =
    LastIndex(network.members_[kVoters[0]].consensus_.log_);
  RunPlanned(planned, 6s);
  const HostId leader = Leader(network);
  REQUIRE_FALSE(leader.empty());
  const ConsensusState& state = network.members_[leader].consensus_;
  CHECK(HoldsLease(state, network.now_));
  CHECK(state.commitIndex_ > before);
  CHECK(IsWhole(planned));
  CHECK(IsVoter(Members(state), kLearner));
  CHECK_FALSE(IsVoter(Members(state), kLostVoter));
  CHECK(network.violations_.empty());
}

} // namespace wigeonlb::core::consensus
