#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

constexpr auto kDone = wire::OUTCOME_DONE;
constexpr auto kNotRun = wire::OUTCOME_NOT_RUN;
constexpr auto kUnknown = wire::OUTCOME_UNKNOWN;
constexpr auto kFailed = wire::OUTCOME_FAILED;

// A group that accepts request keys, with requests that have the key `k`.
class KeyedGroup : public FakeGroup
{
public:
  explicit KeyedGroup(const std::string& aTable = "wigeonlb_request")
    : FakeGroup(Settings{}, 3, 3)
  {
    options_ = { { "request_keys", aTable } };
    SetUp();
  }

  Finish Write(SessionId aSession)
  {
    return Do({ .session_ = aSession, .key_ = "k" });
  }
  Finish RunTransaction(SessionId aSession, bool aWrites = true)
  {
    Do({ .session_ = aSession, .class_ = wire::STATEMENT_BEGIN, .key_ = "k" });
    Do({ .session_ = aSession,
         .class_ = aWrites ? wire::STATEMENT_WRITE : wire::STATEMENT_READ });
    return Do({ .session_ = aSession, .class_ = wire::STATEMENT_COMMIT });
  }
  void SetLag(Duration aLag) { Target(1).lag_ = Target(2).lag_ = aLag; }
};

} // namespace

TEST_CASE("a group without a request key table rejects keyed requests",
          "[traffic]")
{
  KeyedGroup group("off");
  const auto finish = group.Write(1);
  CHECK(finish.outcome_ == kNotRun);
  CHECK(finish.sqlstate_ == "22023");
  CHECK(group.Target(0).log_.empty());
}

TEST_CASE("a request that is retried with its key runs once", "[traffic]")
{
  struct Row
  {
    Duration lagFirst_, lagAgain_;
    wire::Outcome first_, again_;
  };
  const auto row = GENERATE(values<Row>({
    { 5ms, 5ms, kDone, kDone },
    { 1h, 5ms, kUnknown, kDone },
    // The report that it was already done is an acknowledgement, too, so it
    // also requires a majority.
    { 1h, 1h, kUnknown, kNotRun },
  }));
  KeyedGroup group;
  group.SetLag(row.lagFirst_);
  const auto first = group.Write(1);
  CHECK(first.outcome_ == row.first_);
  group.SetLag(row.lagAgain_);
  group.Run(10s);
  const auto again = group.Write(2);
  CHECK(again.outcome_ == row.again_);
  CHECK(group.Target(0).log_.size() == 1);
  // After the acknowledgement, the second session reads the first one's write.
  CHECK((again.position_.term_ > 0) == (row.again_ == kDone));
  CHECK(group.Violations().empty());
}

TEST_CASE("a transaction that is retried with its key is rejected", "[traffic]")
{
  struct Row
  {
    Duration lag_;
    wire::Outcome first_, again_;
    std::string sqlstate_;
  };
  const auto row = GENERATE(values<Row>({
    { 5ms, kDone, kFailed, std::string(kAlreadyDone) },
    { 1h, kUnknown, kUnknown, "08007" },
  }));
  const bool writes = GENERATE(true, false);
  KeyedGroup group;
  group.SetLag(row.lag_);
  CHECK(group.RunTransaction(1, writes).outcome_ == row.first_);
  group.Run(10s);
  const auto size = group.Target(0).log_.size();
  const auto begin =
    group.Do({ .session_ = 2, .class_ = wire::STATEMENT_BEGIN, .key_ = "k" });
  CHECK(begin.outcome_ == row.again_);
  CHECK(begin.sqlstate_ == row.sqlstate_);
  // Its statements do not run outside a transaction.
  CHECK(begin.transactionStatus_ == 'E');
  CHECK(group.Do({ .session_ = 2 }).sqlstate_ == "25P02");
  const auto end =
    group.Do({ .session_ = 2, .class_ = wire::STATEMENT_COMMIT });
  CHECK(end.outcome_ == kDone);
  CHECK(end.transactionStatus_ == 'I');
  CHECK_FALSE(end.passTargetAnswer_);
  CHECK(group.Target(0).log_.size() == size);
  CHECK(group.Violations().empty());
}

TEST_CASE("a request whose key was lost in a failover runs again", "[traffic]")
{
  KeyedGroup group;
  group.SetLag(1h);
  CHECK(group.Write(1).outcome_ == kUnknown);
  group.Revoke();
  group.Promote(1);
  group.Target(0).down_ = true;
  group.Target(0).usable_ = false;
  group.BreakConnections(0);
  group.SetLag(5ms);
  group.Announce();
  group.Grant(500ms);
  group.Run(1s);
  CHECK(group.Write(2).outcome_ == kDone);
  CHECK(group.Write(3).outcome_ == kDone);
  CHECK(group.Target(1).log_.size() == 1);
  CHECK(group.Violations().empty());
}

} // namespace wigeonlb::core::traffic::tests
