#include <algorithm>
#include <deque>
#include <set>
#include <thread>

#include <catch2/catch.hpp>

#include "control/changesubmitter.h"
#include "storage/tests/memoryfilesystem.h"

namespace wigeonlb::daemon::control {

namespace {

namespace consensus = core::consensus;

constexpr std::chrono::seconds kWaitLimitSeconds{ 20 };
constexpr std::chrono::milliseconds kTickMs{ 2 };

constexpr std::uint64_t kBoot = 7;

const std::vector<foundation::HostId> kMembers{ "a", "b", "c" };
//! A host that is not a control member.
const foundation::HostId kOther = "h";

struct Link
{
  foundation::HostId from_;
  foundation::HostId to_;
  auto operator<=>(const Link&) const = default;
};

struct Envelope
{
  Link link_;
  wire::PeerMessage message_;
};

//! Messages on their way. Those on a link that is cut are dropped.
struct Network
{
  std::deque<Envelope> envelopes_;
  std::set<Link> cut_;
};

struct Port : PeerPort
{
  Network* network_ = nullptr;
  foundation::HostId self_;

  void SendControl(const foundation::HostId& aHost,
                   wire::PeerMessage aMessage) override
  {
    const Link link{ self_, aHost };
    if (!network_->cut_.contains(link)) {
      network_->envelopes_.push_back({ link, std::move(aMessage) });
    }
  }
};

struct Host
{
  storage::MemoryFileSystem files_;
  storage::DataFolder folder_;
  Port port_;
  std::unique_ptr<ConsensusMember> member_; //!< null: not a control member
  std::unique_ptr<ChangeSubmitter> submitter_;
};

//! Three control members and another host, on the real clock and a network that
//! can be cut.
struct System
{
  Network network_;
  std::map<foundation::HostId, Host> hosts_;

  System()
  {
    for (const foundation::HostId& name : kMembers) {
      AddHost(name);
      StartMember(hosts_[name], name);
    }
    AddHost(kOther);
    for (auto& [name, host] : hosts_) {
      host.submitter_ = std::make_unique<ChangeSubmitter>(
        name, kBoot, kMembers, host.member_.get(), host.port_);
    }
  }

  void AddHost(const foundation::HostId& aName)
  {
    hosts_[aName].port_.network_ = &network_;
    hosts_[aName].port_.self_ = aName;
  }

  static void StartMember(Host& aHost, const foundation::HostId& aName)
  {
    REQUIRE_FALSE(
      storage::OpenDataFolder(aHost.files_, "data", aName, aHost.folder_));
    MemberCallbacks callbacks;
    callbacks.send_ = [&aHost](const wire::ConsensusMessage& aMessage) {
      wire::PeerMessage message;
      *message.mutable_consensus() = aMessage;
      aHost.port_.SendControl(aMessage.to(), std::move(message));
    };
    callbacks.applied_ = [&aHost](std::uint64_t aIndex, const auto& aResult) {
      aHost.submitter_->OnApplied(aIndex, aResult);
    };
    callbacks.replaced_ = [] {};
    callbacks.leadership_ = [&aHost](const auto& aChange) {
      aHost.submitter_->SetLeaderHint(aChange.leader_);
    };
    callbacks.decided_ = [&aHost](const auto& aDecision) {
      aHost.submitter_->OnDecided(aDecision);
    };
    aHost.member_ =
      std::make_unique<ConsensusMember>(aHost.folder_, std::move(callbacks));
    consensus::ConsensusSettings settings;
    settings.self_ = aName;
    settings.founders_ = kMembers;
    settings.seed_ = static_cast<unsigned char>(aName.front());
    foundation::Findings findings;
    REQUIRE_FALSE(aHost.member_->Start(settings, findings));
  }
};

void
Deliver(System& aSystem, const Envelope& aEnvelope)
{
  Host& host = aSystem.hosts_[aEnvelope.link_.to_];
  const wire::PeerMessage& message = aEnvelope.message_;
  if (message.has_consensus()) {
    host.member_->Feed(consensus::MessageReceived{ message.consensus() });
  } else if (message.has_change_request()) {
    host.submitter_->OnRequest(aEnvelope.link_.from_, message.change_request());
  } else if (message.has_change_reply()) {
    host.submitter_->OnReply(aEnvelope.link_.from_, message.change_reply());
  }
}

//! Runs the hosts until the condition holds, at most 20 s. Returns whether it
//! does.
bool
RunUntil(System& aSystem, const std::function<bool()>& aCondition)
{
  const auto end = foundation::SteadyNow() + kWaitLimitSeconds;
  while (!aCondition() && foundation::SteadyNow() < end) {
    for (auto& [name, host] : aSystem.hosts_) {
      if (host.member_ != nullptr) {
        host.member_->Feed(consensus::Tick{});
      }
      host.submitter_->OnTick();
    }
    while (!aSystem.network_.envelopes_.empty()) {
      const Envelope envelope = std::move(aSystem.network_.envelopes_.front());
      aSystem.network_.envelopes_.pop_front();
      Deliver(aSystem, envelope);
    }
    std::this_thread::sleep_for(kTickMs);
  }
  return aCondition();
}

//! The leader that every member knows; empty if there is none.
foundation::HostId
FindLeader(const System& aSystem)
{
  foundation::HostId leader =
    aSystem.hosts_.at("a").member_->Consensus().leader_;
  const bool agreed =
    std::ranges::all_of(kMembers, [&](const foundation::HostId& aName) {
      return aSystem.hosts_.at(aName).member_->Consensus().leader_ == leader;
    });
  const bool leads = !leader.empty() &&
                     aSystem.hosts_.at(leader).member_->IsReady() &&
                     aSystem.hosts_.at(leader).member_->HoldsLease();
  return agreed && leads ? leader : foundation::HostId();
}

void
Cut(System& aSystem,
    const foundation::HostId& aHost,
    const foundation::HostId& aLeader,
    bool aRequests,
    bool aReplies)
{
  if (aRequests) {
    aSystem.network_.cut_.insert({ aHost, aLeader });
  }
  if (aReplies) {
    aSystem.network_.cut_.insert({ aLeader, aHost });
  }
}

wire::ConfigurationChange
MakeChange()
{
  wire::ConfigurationChange change;
  change.set_change_id("id");
  change.add_operations()->mutable_create_group()->set_group("g");
  return change;
}

} // namespace

TEST_CASE("a change of a host that can't reach the leader is relayed",
          "[changesubmitter]")
{
  struct Row
  {
    bool member_;
    bool requestsCut_;
    bool repliesCut_;
    bool knowsLeader_;
  };
  const auto row = GENERATE(values<Row>({
    { false, true, false, true },
    { false, false, true, true },
    { false, true, true, true },
    { false, true, true, false },
    { true, true, false, true },
    { true, false, true, true },
  }));
  CAPTURE(row.member_, row.requestsCut_, row.repliesCut_, row.knowsLeader_);
  System system;
  foundation::HostId leader;
  REQUIRE(RunUntil(system, [&] {
    leader = FindLeader(system);
    return !leader.empty();
  }));
  const foundation::HostId follower = leader == "a" ? "b" : "a";
  const foundation::HostId& from = row.member_ ? follower : kOther;
  ChangeSubmitter& submitter = *system.hosts_.at(from).submitter_;
  if (row.knowsLeader_) {
    submitter.SetLeaderHint(leader);
  }
  Cut(system, from, leader, row.requestsCut_, row.repliesCut_);

  // The operator sends it twice, as after a lost answer.
  std::vector<ChangeAnswer> answers;
  for (int times = 0; times < 2; ++times) {
    submitter.Submit(MakeChange(), [&](const ChangeAnswer& aAnswer) {
      answers.push_back(aAnswer);
    });
  }
  REQUIRE(RunUntil(system, [&] { return answers.size() == 2; }));
  for (const ChangeAnswer& answer : answers) {
    REQUIRE(answer.outcome_ == ChangeOutcome::Decided);
    // Applied again, it would be refused: the group exists.
    CHECK(answer.result_.accepted());
    CHECK(answer.result_.revision() == answers.front().result_.revision());
  }
}

// Guards against a change that is acknowledged and never decided on.
TEST_CASE("a reply to a request of a former start decides on nothing",
          "[changesubmitter]")
{
  const auto [boot, decides] = GENERATE(table<std::uint64_t, bool>({
    { kBoot - 1, false },
    { kBoot, true },
    { 0, true }, // of a leader that does not tell it
  }));
  Network network;
  Port port;
  port.network_ = &network;
  port.self_ = kOther;
  ChangeSubmitter submitter(kOther, kBoot, kMembers, nullptr, port);
  std::optional<ChangeAnswer> answer;
  submitter.Submit(MakeChange(),
                   [&](const ChangeAnswer& aAnswer) { answer = aAnswer; });
  REQUIRE(network.envelopes_.size() == 1);
  const auto& request = network.envelopes_.front().message_.change_request();
  CHECK(request.boot() == kBoot);
  wire::ChangeReply reply;
  reply.set_request(request.request());
  reply.set_boot(boot);
  reply.set_decided(true);
  reply.mutable_result()->set_accepted(true);
  submitter.OnReply("a", reply);
  CHECK(answer.has_value() == decides);
}

TEST_CASE("text that is not UTF-8 is refused in a change", "[changesubmitter]")
{
  Network network;
  Port port;
  port.network_ = &network;
  ChangeSubmitter submitter(kOther, kBoot, kMembers, nullptr, port);
  wire::ConfigurationChange change = MakeChange();
  change.set_operator_name("\xFF\xFE");
  std::optional<ChangeAnswer> answer;
  submitter.Submit(change,
                   [&](const ChangeAnswer& aAnswer) { answer = aAnswer; });
  REQUIRE(answer);
  CHECK(answer->outcome_ == ChangeOutcome::Decided);
  CHECK_FALSE(answer->result_.accepted());
  CHECK(network.envelopes_.empty());
}

TEST_CASE("a change that no member can bring to a leader is not decided",
          "[changesubmitter]")
{
  System system;
  foundation::HostId leader;
  REQUIRE(RunUntil(system, [&] {
    leader = FindLeader(system);
    return !leader.empty();
  }));
  ChangeSubmitter& submitter = *system.hosts_.at(kOther).submitter_;
  submitter.SetLeaderHint(leader);
  for (const foundation::HostId& member : kMembers) {
    Cut(system, kOther, member, false, true);
  }
  std::optional<ChangeAnswer> answer;
  submitter.Submit(MakeChange(),
                   [&](const ChangeAnswer& aAnswer) { answer = aAnswer; });
  REQUIRE(RunUntil(system, [&] { return answer.has_value(); }));
  // No ticket arrived, so nothing can be logged later.
  CHECK(answer->outcome_ == ChangeOutcome::Undecided);
  CHECK(system.hosts_.at(leader).member_->Control().groups().empty());
}

} // namespace wigeonlb::daemon::control
