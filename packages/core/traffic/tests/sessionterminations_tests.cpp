#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

// Why a session releases its connection.
enum class ReleaseCause
{
  Finished,
  Deadline,
  CallerDisconnected,
  CallerDisconnectedInTransaction,
  Unresponsive,
  UnresponsiveInTransaction,
  Broken,
};

void
CauseRelease(FakeGroup& aGroup, ReleaseCause aCause)
{
  const bool inTransaction =
    aCause == ReleaseCause::CallerDisconnectedInTransaction ||
    aCause == ReleaseCause::UnresponsiveInTransaction;
  if (inTransaction) {
    aGroup.Do({ .class_ = wire::STATEMENT_BEGIN });
    aGroup.Do({});
  }
  if (aCause == ReleaseCause::Unresponsive ||
      aCause == ReleaseCause::UnresponsiveInTransaction) {
    aGroup.FreezeConnections(0);
  }
  if (aCause == ReleaseCause::Deadline ||
      aCause == ReleaseCause::CallerDisconnected ||
      aCause == ReleaseCause::Broken) {
    aGroup.Target(0).service_ = 20s;
  }
  if (aCause != ReleaseCause::CallerDisconnectedInTransaction) {
    aGroup.Send(
      { .deadline_ = aCause == ReleaseCause::Deadline ? 200ms : 10s });
  }
  aGroup.Run(100ms);
  if (aCause == ReleaseCause::Broken) {
    aGroup.BreakConnections(0);
  }
  if (aCause == ReleaseCause::CallerDisconnected ||
      aCause == ReleaseCause::CallerDisconnectedInTransaction) {
    aGroup.Feed(SessionClosed{ 1 });
  }
}

} // namespace

TEST_CASE("database sessions abandoned in use are terminated", "[sessionends]")
{
  const auto cause = GENERATE(ReleaseCause::Finished,
                              ReleaseCause::Deadline,
                              ReleaseCause::CallerDisconnected,
                              ReleaseCause::CallerDisconnectedInTransaction,
                              ReleaseCause::Unresponsive,
                              ReleaseCause::UnresponsiveInTransaction,
                              ReleaseCause::Broken);
  Settings settings;
  settings.guards_.terminateSessions_ = GENERATE(true, false);
  FakeGroup group(settings, 3, 3);
  std::vector<BackendId> used;
  group.onStep_ = [&](const auto&, std::span<const TrafficAction> aActions) {
    for (const auto& action : aActions) {
      if (const auto* sent = std::get_if<SendStatement>(&action)) {
        used.push_back(static_cast<BackendId>(sent->connection_));
      }
    }
  };
  group.SetUp();
  CauseRelease(group, cause);
  REQUIRE_FALSE(used.empty());
  group.Run(4s);
  const bool isTerminated =
    settings.guards_.terminateSessions_ && cause != ReleaseCause::Finished;
  CAPTURE(static_cast<int>(cause));
  CHECK(group.Target(0).terminatedSessions_.contains(used.back()) ==
        isTerminated);
  CHECK(group.Violations().empty());
}

TEST_CASE("a termination request is repeated after its probe was lost",
          "[sessionends]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Target(0).service_ = 20s;
  group.Send({ .deadline_ = 200ms });
  group.Run(150ms);
  group.Target(0).frozen_ = true;
  group.Run(2s);
  CHECK(group.Target(0).terminatedSessions_.empty());
  group.Target(0).frozen_ = false;
  group.Run(2s);
  CHECK_FALSE(group.Target(0).terminatedSessions_.empty());
}

TEST_CASE("open transactions of former holders are terminated", "[sessionends]")
{
  const std::string name = "wigeonlb/h/7";
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Run(1s);
  group.endedHolders_ = { name };
  group.Run(5s);
  for (std::size_t i = 0; i < group.TargetCount(); ++i) {
    const auto& terminations = group.Target(i).holderTerminations_;
    CHECK(terminations.size() >= 6);
    CHECK(terminations.size() <= 11);
    for (const auto& [at, termination] : terminations) {
      CHECK(termination.names_ == std::vector{ name });
      CHECK(termination.age_ == 1250ms);
    }
  }
  // Nothing is terminated without a grant, or after the control leader has
  // removed the holder from the list.
  struct Row
  {
    bool grants_;
    std::vector<std::string> names_;
  };
  const auto row =
    GENERATE_COPY(values<Row>({ { false, { name } }, { true, {} } }));
  group.endedHolders_ = row.names_;
  group.KeepGrant(row.grants_);
  group.Run(600ms);
  const auto before = group.Target(0).holderTerminations_.size();
  group.Run(5s);
  CHECK(group.Target(0).holderTerminations_.size() == before);
}

} // namespace wigeonlb::core::traffic::tests
