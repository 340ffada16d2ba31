#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include "control/hostagent.h"
#include "storage/memberstore.h"
#include "storage/tests/memoryfilesystem.h"

namespace wigeonlb::daemon::control {

namespace {

constexpr std::chrono::seconds kWaitLimitSeconds{ 5 };

//! A disk whose writes of files wait until they are allowed, at most 5 s. Only
//! one thread at a time uses it.
struct SlowDisk : storage::MemoryFileSystem
{
  std::error_code Sync(storage::FileHandle aFile) override
  {
    std::unique_lock lock(mutex_);
    ++begun_;
    changed_.notify_all();
    const bool allowed = changed_.wait_for(
      lock, kWaitLimitSeconds, [this] { return begun_ <= allowed_; });
    timedOut_ = timedOut_ || !allowed;
    return fails_ ? std::make_error_code(std::errc::io_error)
                  : MemoryFileSystem::Sync(aFile);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  int begun_ = 0;
  int allowed_ = 1; //!< the first write is that of the folder's identity
  bool timedOut_ = false;
  bool fails_ = false;
};

void
AllowWrites(SlowDisk& aDisk)
{
  const std::lock_guard lock(aDisk.mutex_);
  aDisk.allowed_ = 1000;
  aDisk.changed_.notify_all();
}

//! Waits until the second write has begun. Returns whether it waits.
bool
WaitForWrite(SlowDisk& aDisk)
{
  std::unique_lock lock(aDisk.mutex_);
  aDisk.changed_.wait_for(
    lock, kWaitLimitSeconds, [&] { return aDisk.begun_ == 2; });
  return aDisk.begun_ == 2 && !aDisk.timedOut_;
}

//! Keeps to whom messages were sent, and the last one to each.
struct NamingPort : PeerPort
{
  std::set<foundation::HostId> hosts_;
  std::map<foundation::HostId, wire::PeerMessage> messages_;

  void SendControl(const foundation::HostId& aHost,
                   wire::PeerMessage aMessage) override
  {
    hosts_.insert(aHost);
    messages_[aHost] = std::move(aMessage);
  }
};

HostAgentSettings
MakeSettings()
{
  HostAgentSettings settings;
  settings.self_.set_host("h");
  settings.members_ = { "a" };
  return settings;
}

settings::DaemonSettings
MakeDaemonSettings()
{
  settings::DaemonSettings settings;
  settings.hostId_ = "h";
  settings.trafficThreads_ = 1;
  return settings;
}

//! The agent of a host with a slow disk.
struct Fixture
{
  SlowDisk disk_;
  storage::DataFolder folder_;
  foundation::MetricsRegistry registry_;
  traffic::TrafficMetrics metrics_{ registry_ };
  traffic::TrafficRuntime traffic_{
    MakeDaemonSettings(), 1, metrics_, {}, {}, {}
  };
  NamingPort port_;
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_{ context_.get_executor() };
  std::unique_ptr<HostAgent> agent_;

  Fixture()
  {
    REQUIRE_FALSE(storage::OpenDataFolder(disk_, "data", "h", folder_));
    agent_ = std::make_unique<HostAgent>(
      context_, MakeSettings(), &folder_, port_, traffic_);
    REQUIRE_FALSE(agent_->Start());
  }
  ~Fixture() { AllowWrites(disk_); }
};

void
Receive(Fixture& aFixture, foundation::Revision aRevision)
{
  wire::HeartbeatReply reply;
  reply.set_from("a");
  reply.set_whole(true);
  reply.set_revision(aRevision);
  aFixture.agent_->OnReply(reply);
}

foundation::Revision
InForce(const Fixture& aFixture)
{
  return aFixture.agent_->View().state_.revision();
}

//! Handles events until the revision is in force. Returns whether it is.
bool
RunUntilInForce(Fixture& aFixture, foundation::Revision aRevision)
{
  const auto end = foundation::SteadyNow() + kWaitLimitSeconds;
  while (InForce(aFixture) < aRevision && foundation::SteadyNow() < end) {
    aFixture.context_.run_one_for(kWaitLimitSeconds);
  }
  return InForce(aFixture) == aRevision;
}

foundation::Revision
LoadRevision(const Fixture& aFixture)
{
  wire::HostMemory memory;
  REQUIRE_FALSE(storage::LoadHostMemory(aFixture.folder_, memory));
  return memory.view().revision();
}

//! The agent of a host without a disk that expects a configuration.
struct StartingHost
{
  foundation::MetricsRegistry registry_;
  traffic::TrafficMetrics metrics_{ registry_ };
  traffic::TrafficRuntime traffic_{
    MakeDaemonSettings(), 1, metrics_, {}, {}, {}
  };
  NamingPort port_;
  boost::asio::io_context context_;
  HostAgent agent_{ context_,
                    MakeExpectingSettings(),
                    nullptr,
                    port_,
                    traffic_ };

  static HostAgentSettings MakeExpectingSettings()
  {
    HostAgentSettings settings = MakeSettings();
    settings.expectsConfiguration_ = true;
    return settings;
  }
};

//! A reply with the whole configuration, or without a change if not whole_.
struct Reply
{
  foundation::Revision revision_;
  bool whole_;
  bool confirmed_;
};

void
Receive(StartingHost& aHost, const Reply& aReply)
{
  wire::HeartbeatReply reply;
  reply.set_from("a");
  reply.set_whole(aReply.whole_);
  reply.set_revision(aReply.revision_);
  reply.set_base_revision(aReply.whole_ ? 0 : aReply.revision_);
  reply.set_confirmed(aReply.confirmed_);
  aHost.agent_.OnReply(reply);
}

} // namespace

// Guards against names that are refused by a configuration which lacks
// acknowledged changes.
TEST_CASE("a host begins with a configuration that a leader has confirmed",
          "[hostagent]")
{
  struct Row
  {
    std::string_view what_;
    std::vector<Reply> replies_;
    foundation::Revision inForce_;
    bool confirmed_;
  };
  const auto row = GENERATE(values<Row>({
    { "of a leader", { { 570, true, true } }, 570, true },
    { "of a member that has just started", { { 510, true, false } }, 0, false },
    { "the member's, then the leader's",
      { { 510, true, false }, { 570, true, true } },
      570,
      true },
    { "the leader says that it is the newest",
      { { 570, true, false }, { 570, false, true } },
      570,
      true },
    { "the leader has a newer one, which is on its way",
      { { 510, true, false }, { 570, false, true } },
      0,
      false },
    { "a leader without a configuration", { { 0, false, true } }, 0, false },
    { "a later one of a member, after the leader's",
      { { 570, true, true }, { 571, true, false } },
      571,
      true },
  }));
  INFO(row.what_);
  StartingHost host;
  REQUIRE_FALSE(host.agent_.Start());
  for (const Reply& reply : row.replies_) {
    Receive(host, reply);
  }
  CHECK(host.agent_.View().state_.revision() == row.inForce_);
  CHECK(host.agent_.KnowsConfiguration() == (row.inForce_ != 0));
  CHECK(host.agent_.HasConfirmedConfiguration() == row.confirmed_);
}

TEST_CASE("a host that finds no leader begins with what members know",
          "[hostagent]")
{
  StartingHost host;
  REQUIRE_FALSE(host.agent_.Start());
  Receive(host, { 510, true, false });
  const auto end = foundation::SteadyNow() + 2 * kWaitLimitSeconds;
  while (!host.agent_.KnowsConfiguration() && foundation::SteadyNow() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    host.agent_.OnTick();
  }
  CHECK(host.agent_.View().state_.revision() == 510);
  // A name that it doesn't know may exist.
  CHECK_FALSE(host.agent_.HasConfirmedConfiguration());
  Receive(host, { 570, true, true });
  CHECK(host.agent_.HasConfirmedConfiguration());
}

// Guards against a host that stays behind because every control member that it
// knew was replaced while it heard none.
TEST_CASE("a host asks the seeds that its settings name since they changed",
          "[hostagent]")
{
  StartingHost host;
  REQUIRE_FALSE(host.agent_.Start());
  host.agent_.OnSeeds({ "b", "c" });
  const auto end = foundation::SteadyNow() + kWaitLimitSeconds;
  while (host.port_.hosts_.size() < 3 && foundation::SteadyNow() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    host.agent_.OnTick();
  }
  CHECK(host.port_.hosts_ == std::set<foundation::HostId>{ "a", "b", "c" });
}

// Guards against members that never meet after a restart of all hosts.
TEST_CASE("a host asks the members that its own log names, also after a reload",
          "[hostagent]")
{
  StartingHost host;
  REQUIRE_FALSE(host.agent_.Start());
  host.agent_.OnStoredMembers({ "s1", "s2" });
  host.agent_.OnSeeds({ "b" });
  const auto end = foundation::SteadyNow() + kWaitLimitSeconds;
  while (host.port_.hosts_.size() < 4 && foundation::SteadyNow() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    host.agent_.OnTick();
  }
  CHECK(host.port_.hosts_ ==
        std::set<foundation::HostId>{ "a", "b", "s1", "s2" });
}

TEST_CASE(
  "a host that is no member answers a heartbeat with newer members only",
  "[hostagent]")
{
  const auto [known, asked, answers] =
    GENERATE(table<std::uint64_t, std::uint64_t, bool>({ { 0, 0, false },
                                                         { 9, 0, true },
                                                         { 9, 8, true },
                                                         { 9, 9, false },
                                                         { 9, 12, false } }));
  CAPTURE(known, asked);
  StartingHost host;
  REQUIRE_FALSE(host.agent_.Start());
  wire::HeartbeatReply told;
  told.set_from("a");
  told.mutable_members()->add_voters("v");
  told.set_members_index(known);
  host.agent_.OnReply(told);
  host.port_.messages_.clear();
  wire::Heartbeat heartbeat;
  heartbeat.mutable_sender()->set_host("lost");
  heartbeat.mutable_sender()->set_boot(7);
  heartbeat.set_sequence(3);
  heartbeat.set_members_index(asked);
  host.agent_.OnHeartbeat(heartbeat);
  REQUIRE(host.port_.messages_.contains("lost") == answers);
  if (answers) {
    const wire::HeartbeatReply& reply =
      host.port_.messages_.at("lost").heartbeat_reply();
    CHECK(reply.members().voters(0) == "v");
    CHECK(reply.members_index() == known);
    CHECK(reply.boot() == 7);
    CHECK(reply.sequence() == 3);
    CHECK_FALSE(reply.leader());
    CHECK_FALSE(reply.confirmed());
    CHECK(reply.leader_hint().empty());
  }
}

TEST_CASE("a reply to a former start of the host changes nothing",
          "[hostagent]")
{
  StartingHost host;
  REQUIRE_FALSE(host.agent_.Start());
  wire::HeartbeatReply reply;
  reply.set_from("a");
  reply.set_leader(true);
  reply.set_boot(1); // the present start has none in this test
  reply.set_whole(true);
  reply.set_revision(510);
  reply.set_confirmed(true);
  host.agent_.OnReply(reply);
  CHECK_FALSE(host.agent_.HasReachedLeader());
  CHECK_FALSE(host.agent_.KnowsConfiguration());
}

TEST_CASE("a slow disk delays a configuration but not the control thread",
          "[hostagent]")
{
  Fixture fixture;
  Receive(fixture, 5);
  REQUIRE(WaitForWrite(fixture.disk_));

  // Several revisions during a write need only one more.
  for (const foundation::Revision revision : { 6U, 7U, 8U }) {
    Receive(fixture, revision);
  }
  fixture.context_.poll();
  CHECK(InForce(fixture) == 0);
  CHECK(fixture.agent_->Holder().revision_ == 0);
  REQUIRE_FALSE(fixture.disk_.timedOut_);

  AllowWrites(fixture.disk_);
  REQUIRE(RunUntilInForce(fixture, 8));
  CHECK(fixture.agent_->Holder().revision_ == 8);
  CHECK(fixture.agent_->View().highestRevisionSeen_ == 8);
  fixture.agent_->Stop();
  CHECK(LoadRevision(fixture) == 8);
  CHECK(fixture.disk_.begun_ == 3);
}

TEST_CASE("a configuration that can't be saved is in force", "[hostagent]")
{
  Fixture fixture;
  fixture.disk_.fails_ = true;
  AllowWrites(fixture.disk_);
  Receive(fixture, 5);
  CHECK(RunUntilInForce(fixture, 5));
  fixture.agent_->Stop();
  CHECK(LoadRevision(fixture) == 0);
}

TEST_CASE("a host that stops waits for the write in progress only",
          "[hostagent]")
{
  Fixture fixture;
  Receive(fixture, 5);
  REQUIRE(WaitForWrite(fixture.disk_));
  Receive(fixture, 6);
  AllowWrites(fixture.disk_);
  fixture.agent_->Stop();
  // The second one was saved only if it had begun before the stop.
  CHECK(LoadRevision(fixture) >= 5);
  CHECK(InForce(fixture) == 0);
}

} // namespace wigeonlb::daemon::control
