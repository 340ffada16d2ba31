#include <catch2/catch.hpp>

#include "control/leaderdriver.h"
#include "tests/singlemember.h"

namespace wigeonlb::daemon::control {

namespace {

//! Keeps the messages that are sent.
struct RecordingPort : PeerPort
{
  std::vector<wire::HeartbeatReply> replies_;

  void SendControl(const foundation::HostId& /*aHost*/,
                   wire::PeerMessage aMessage) override
  {
    replies_.push_back(aMessage.heartbeat_reply());
  }
};

//! A leader that is the only control member.
struct Fixture
{
  SingleMember single_;
  boost::asio::io_context context_;
  RecordingPort port_;
  LeaderDriver driver_{ context_,
                        "a",
                        {},
                        target::PostgresqlProtocol(),
                        [](auto&, const auto&, const auto&) {},
                        *single_.member_,
                        port_ };
  std::uint64_t sequence_ = 0;
};

//! The replies to a heartbeat of a host that has the configuration of a
//! revision.
std::vector<wire::HeartbeatReply>
SendHeartbeat(Fixture& aFixture, foundation::Revision aRevision)
{
  wire::Heartbeat heartbeat;
  heartbeat.mutable_sender()->set_host("h");
  heartbeat.set_sequence(++aFixture.sequence_);
  heartbeat.set_revision_in_force(aRevision);
  aFixture.port_.replies_.clear();
  aFixture.driver_.OnHeartbeat(heartbeat);
  return aFixture.port_.replies_;
}

} // namespace

TEST_CASE("a host that needs the whole configuration does not wait for it to "
          "be answered",
          "[leaderdriver]")
{
  Fixture fixture;
  REQUIRE(WaitUntilReady(fixture.single_));
  CreateGroup(fixture.single_, "g");
  fixture.driver_.OnTick();
  const auto revision = fixture.single_.member_->Control().revision();

  const auto first = SendHeartbeat(fixture, 0);
  REQUIRE(first.size() == 2);
  CHECK(first[0].leader());
  CHECK(first[0].sequence() == 1);
  CHECK_FALSE(first[0].whole());
  CHECK(first[0].groups().empty());
  CHECK(first[1].whole());
  CHECK(first[1].groups_size() == 1);
  CHECK(first[1].revision() == revision);
  CHECK(first[0].confirmed());
  CHECK(first[1].confirmed());
  // Else it would confirm that there is no configuration.
  CHECK(first[0].revision() == revision);
  // It would be delayed with the byte budget, and must not look like an answer.
  CHECK_FALSE(first[1].leader());
  CHECK(first[1].leader_hint().empty());

  SECTION("the next heartbeat does not cause the whole to be sent again")
  {
    const auto next = SendHeartbeat(fixture, 0);
    REQUIRE(next.size() == 1);
    CHECK(next[0].revision() == revision);
  }
  SECTION("a host that has the configuration gets the reply only")
  {
    CHECK(SendHeartbeat(fixture, revision).size() == 1);
  }
}

// Guards against a host that begins with the configuration of a member that has
// just started itself.
TEST_CASE("a member that does not lead confirms no configuration",
          "[leaderdriver]")
{
  Fixture fixture;
  for (const auto& reply : SendHeartbeat(fixture, 0)) {
    CHECK_FALSE(reply.confirmed());
  }
  REQUIRE(WaitUntilReady(fixture.single_));
  fixture.driver_.OnTick();
  for (const auto& reply : SendHeartbeat(fixture, 0)) {
    CHECK(reply.confirmed());
  }
}

} // namespace wigeonlb::daemon::control
