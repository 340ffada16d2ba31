#include <algorithm>
#include <iomanip>
#include <iostream>

#include <catch2/catch.hpp>

#include "core/traffic/tests/fakegroup.h"

namespace wigeonlb::core::traffic::tests {

namespace {

struct Load
{
  double perSecond_ = 100;
  Duration length_ = 5s;
  double readShare_ = 0;
  Duration deadline_ = 200ms;
  std::optional<Duration> latencyObjective_ = std::nullopt;
  std::size_t sessions_ = 400;
  //! Send no floors, so that reads may miss the session's own writes.
  bool ignoreFloors_ = false;
};

struct Outcome
{
  std::size_t requests_ = 0;
  std::size_t done_ = 0;
  std::size_t unknown_ = 0;
  std::size_t reads_ = 0;
  std::size_t byReplica_ = 0;
  std::size_t withinObjective_ = 0;
  //! Reads that a replica could have served, judged by the actual state of the
  //! targets.
  std::size_t oracle_ = 0;
  double perSecond_ = 0;
  //! Time until the response, for each request that was not run.
  std::vector<Duration> refusedAfter_;
};

Duration
Percentile(std::vector<Duration> aTimes, double aShare)
{
  if (aTimes.empty()) {
    return 0ms;
  }
  const auto index =
    static_cast<std::size_t>(static_cast<double>(aTimes.size() - 1) * aShare);
  std::ranges::nth_element(aTimes,
                           aTimes.begin() + static_cast<std::ptrdiff_t>(index));
  return aTimes[index];
}

// Sends requests at random times, each from a session without a running one.
Outcome
RunLoad(FakeGroup& aGroup, const Load& aLoad)
{
  Outcome outcome;
  std::mt19937 random(7);
  std::exponential_distribution<double> gap(aLoad.perSecond_);
  std::uniform_real_distribution<double> share(0, 1);
  std::vector<RequestId> sent;
  std::map<SessionId, RequestId> last;
  std::map<RequestId, Instant> sentAt;
  const Instant end = aGroup.Now() + aLoad.length_;
  while (aGroup.Now() < end) {
    aGroup.Run(std::chrono::microseconds(
      1 + static_cast<std::int64_t>(gap(random) * 1e6)));
    RequestSpec spec;
    spec.session_ = 1 + random() % aLoad.sessions_;
    spec.deadline_ = aLoad.deadline_;
    spec.latencyObjective_ = aLoad.latencyObjective_;
    if (last.contains(spec.session_) &&
        !aGroup.results_.contains(last[spec.session_])) {
      continue;
    }
    if (share(random) < aLoad.readShare_) {
      spec.class_ = wire::STATEMENT_READ;
      ++outcome.reads_;
      outcome.oracle_ += aGroup.CouldReplicaServe(spec.session_) ? 1 : 0;
    }
    if (aLoad.ignoreFloors_) {
      spec.floor_ = LogPosition{};
    }
    const Instant at = aGroup.Now();
    sent.push_back(last[spec.session_] = aGroup.Send(spec));
    sentAt[sent.back()] = at;
  }
  aGroup.Run(aLoad.deadline_ + 10ms);
  for (const auto& id : sent) {
    const Finish& finish = aGroup.results_.at(id).finish_;
    outcome.done_ += finish.outcome_ == wire::OUTCOME_DONE ? 1 : 0;
    outcome.unknown_ += finish.outcome_ == wire::OUTCOME_UNKNOWN ? 1 : 0;
    if (finish.outcome_ == wire::OUTCOME_NOT_RUN) {
      outcome.refusedAfter_.push_back(aGroup.results_.at(id).at_ - sentAt[id]);
    }
    outcome.byReplica_ += finish.byReplica_ ? 1 : 0;
    const bool timely =
      !aLoad.latencyObjective_ ||
      aGroup.results_.at(id).at_ - sentAt[id] <= *aLoad.latencyObjective_;
    outcome.withinObjective_ +=
      finish.outcome_ == wire::OUTCOME_DONE && timely ? 1 : 0;
  }
  outcome.requests_ = sent.size();
  outcome.perSecond_ = static_cast<double>(outcome.done_) /
                       std::chrono::duration<double>(aLoad.length_).count();
  return outcome;
}

} // namespace

TEST_CASE("goodput is maintained under overload", "[load]")
{
  const double readShare = GENERATE(0.0, 1.0);
  const bool shedding = GENERATE(true, false);
  Settings settings;
  settings.guards_.shedding_ = shedding;
  std::map<int, double> goodput;
  for (const int times : { 1, 2, 5 }) {
    FakeGroup group(settings, 3, 3);
    for (std::size_t i = 0; i < 3; ++i) {
      group.Target(i).service_ = 8ms;
    }
    group.SetUp();
    // Three slots with 8 ms per statement and one or two round trips process
    // about 300 statements per second; reads have two replicas.
    const double capacity = readShare > 0 ? 600 : 280;
    const auto outcome = RunLoad(
      group, { .perSecond_ = capacity * times, .readShare_ = readShare });
    goodput[times] = outcome.perSecond_;
    CHECK(group.violations_.empty());
    std::cout << "goodput,reads," << readShare << ",shedding," << shedding
              << ",load," << times << ",asked," << outcome.requests_ << ",done,"
              << outcome.done_ << ",unknown," << outcome.unknown_
              << ",done_per_s," << outcome.perSecond_ << '\n';
  }
  if (shedding) {
    CHECK(goodput[2] >= 0.85 * goodput[1]);
    CHECK(goodput[5] >= 0.85 * goodput[1]);
  } else {
    CHECK(goodput[5] < 0.85 * goodput[1]);
  }
}

TEST_CASE("requests are rejected early under overload", "[load]")
{
  const double readShare = GENERATE(0.0, 0.9, 1.0);
  struct Row
  {
    Duration jitter_, bound_;
  };
  const auto row = GENERATE(values<Row>({
    { 0ms, 50ms },
    { 30ms, 50ms },
    // Statements take 10 to 110 ms, so the predicted wait is inaccurate.
    { 100ms, 450ms },
  }));
  FakeGroup group(Settings{}, 3, 2);
  for (std::size_t i = 0; i < 3; ++i) {
    group.Target(i).service_ = 10ms;
    group.Target(i).jitter_ = row.jitter_;
  }
  group.SetUp();
  const auto outcome = RunLoad(group,
                               { .perSecond_ = 1000,
                                 .readShare_ = readShare,
                                 .deadline_ = 500ms,
                                 .sessions_ = 1000 });
  const auto waited = Percentile(outcome.refusedAfter_, 0.99);
  std::cout << "refused,reads," << readShare << ",jitter_ms,"
            << row.jitter_.count() / 1000 << ",asked," << outcome.requests_
            << ",done," << outcome.done_ << ",unknown," << outcome.unknown_
            << ",refused," << outcome.refusedAfter_.size() << ",p50_us,"
            << Percentile(outcome.refusedAfter_, 0.5).count() << ",p99_us,"
            << waited.count() << '\n';
  CHECK(waited <= row.bound_);
  CHECK(group.violations_.empty());
}

TEST_CASE("reads are rejected early although some replicas cannot serve them",
          "[load]")
{
  // One replica that takes 24 ms for a read serves 125 reads per second.
  struct Row
  {
    std::function<void(FakeGroup&)> fail_;
    Duration bound_;
  };
  const auto row = GENERATE(values<Row>({
    { [](FakeGroup&) {}, 50ms },
    { [](FakeGroup& aGroup) { aGroup.Target(2).frozen_ = true; }, 50ms },
    { [](FakeGroup& aGroup) {
       aGroup.Target(2).down_ = true;
       aGroup.BreakConnections(2);
     },
      50ms },
    { [](FakeGroup& aGroup) {
       aGroup.Target(2).counted_ = false;
       aGroup.Announce();
     },
      50ms },
  }));
  FakeGroup group(Settings{}, 3, 3);
  for (std::size_t i = 0; i < group.TargetCount(); ++i) {
    group.Target(i).service_ = 24ms;
  }
  group.SetUp();
  row.fail_(group);
  group.Run(2s);
  const auto outcome = RunLoad(group,
                               { .perSecond_ = 1000,
                                 .length_ = 10s,
                                 .readShare_ = 0.7,
                                 .deadline_ = 1s,
                                 .sessions_ = 4000 });
  const auto waited = Percentile(outcome.refusedAfter_, 0.99);
  std::cout << "refused,unreachable replica,asked," << outcome.requests_
            << ",done," << outcome.done_ << ",unknown," << outcome.unknown_
            << ",refused," << outcome.refusedAfter_.size() << ",p50_us,"
            << Percentile(outcome.refusedAfter_, 0.5).count() << ",p99_us,"
            << waited.count() << '\n';
  CHECK(waited <= row.bound_);
  CHECK(outcome.unknown_ == 0);
  CHECK(group.Violations().empty());
}

TEST_CASE("a read that would miss its deadline is not sent", "[load]")
{
  const auto service = GENERATE(20ms, 30ms, 45ms, 70ms);
  FakeGroup group(Settings{}, 3, 1);
  for (std::size_t i = 0; i < group.TargetCount(); ++i) {
    group.Target(i).service_ = 20ms;
  }
  group.SetUp();
  for (int i = 0; i < 20; ++i) {
    group.Do({ .class_ = wire::STATEMENT_READ });
  }
  // Makes the predictions from the measured service time wrong.
  for (std::size_t i = 0; i < group.TargetCount(); ++i) {
    group.Target(i).service_ = service;
  }
  std::vector<RequestId> reads;
  for (SessionId session = 2; session < 12; ++session) {
    reads.push_back(group.Send({ .session_ = session,
                                 .class_ = wire::STATEMENT_READ,
                                 .deadline_ = 100ms }));
  }
  group.Run(200ms);
  std::size_t done = 0;
  for (const auto& read : reads) {
    const auto& finish = group.results_.at(read).finish_;
    CAPTURE(service.count(), finish.message_);
    CHECK(finish.outcome_ != wire::OUTCOME_UNKNOWN);
    done += finish.outcome_ == wire::OUTCOME_DONE ? 1 : 0;
  }
  CHECK(done >= 2);
  CHECK(group.Violations().empty());
}

TEST_CASE("an idle primary keeps reads within their latency objective",
          "[load]")
{
  // One of two replicas is down. The other one can process 125 reads per second
  // at 24 ms each, and the primary as many besides a few writes.
  struct Row
  {
    double perSecond_;
    double withinObjective_; //!< minimum share
  };
  const auto row = GENERATE(values<Row>({ { 100, 0.98 }, { 180, 0.95 } }));
  FakeGroup group(Settings{}, 3, 3);
  for (std::size_t i = 0; i < group.TargetCount(); ++i) {
    group.Target(i).service_ = 24ms;
  }
  group.SetUp();
  group.Target(2).down_ = true;
  group.BreakConnections(2);
  group.Run(2s);
  const auto outcome = RunLoad(group,
                               { .perSecond_ = row.perSecond_,
                                 .length_ = 20s,
                                 .readShare_ = 0.85,
                                 .deadline_ = 800ms,
                                 .latencyObjective_ = 400ms });
  const double share = static_cast<double>(outcome.withinObjective_) /
                       static_cast<double>(outcome.requests_);
  std::cout << "one replica,load," << row.perSecond_ << ",in_aim," << share
            << ",by_replica,"
            << static_cast<double>(outcome.byReplica_) /
                 static_cast<double>(outcome.reads_)
            << '\n';
  CHECK(share >= row.withinObjective_);
  CHECK(group.violations_.empty());
}

TEST_CASE("a tenant that floods the queue does not starve another", "[load]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  std::vector<RequestId> quiet;
  for (int i = 0; i < 3000; ++i) {
    group.Send({ .session_ = 1000U + static_cast<SessionId>(i),
                 .deadline_ = 100ms,
                 .tenant_ = "flood" });
    if (i % 30 == 0) {
      quiet.push_back(group.Send({ .session_ = 1U + static_cast<SessionId>(i),
                                   .deadline_ = 100ms,
                                   .tenant_ = "quiet" }));
    }
    group.Run(300us);
  }
  group.Run(200ms);
  std::size_t done = 0;
  for (const auto& id : quiet) {
    done +=
      group.results_.at(id).finish_.outcome_ == wire::OUTCOME_DONE ? 1 : 0;
  }
  CHECK(done >= quiet.size() * 95 / 100);
  CHECK(group.violations_.empty());
}

TEST_CASE("the retry budget limits retries under failure", "[load]")
{
  const bool budget = GENERATE(true, false);
  Settings settings;
  settings.guards_.retryBudget_ = budget;
  FakeGroup group(settings, 3, 3);
  group.Target(1).service_ = group.Target(2).service_ = 60ms;
  group.SetUp();
  std::size_t sent = 0;
  for (int i = 0; i < 2000; ++i) {
    group.Send({ .session_ = 1U + static_cast<SessionId>(i),
                 .class_ = wire::STATEMENT_READ,
                 .deadline_ = 500ms });
    ++sent;
    // Every connection to a replica is lost before the replica responds.
    group.Run(100us);
    group.BreakConnections(1);
    group.BreakConnections(2);
    group.Run(15ms);
  }
  const auto retries = group.state_.counters_.statementRetries_;
  std::cout << "retries,budget," << budget << ",requests," << sent << ",again,"
            << retries << '\n';
  CHECK((retries <= sent / 10 + 10) == budget);
}

TEST_CASE("reads go to replicas whenever a replica can serve them", "[load]")
{
  struct Row
  {
    Duration lag_;
    double readShare_;
    bool ignoreFloors_;
    //! Minimum replica share, relative to a choice with perfect knowledge.
    double minShareOfOracle_;
  };
  const auto row = GENERATE(values<Row>({
    { 50ms, 0.9, false, 0.98 },
    { 50ms, 0.5, false, 0.98 },
    { 2s, 0.9, false, 0.9 },
    { 2s, 0.5, false, 0.9 },
    { 120s, 0.9, false, 0.9 },
    { 120s, 0.5, false, 0.9 },
    { 50ms, 0.9, true, 0.9 },
    { 2s, 0.9, true, 0.9 },
    { 120s, 0.9, true, 0.9 },
  }));
  Settings settings;
  settings.guards_.probeWithRead_ = !row.ignoreFloors_;
  FakeGroup group(settings, 3, 3);
  for (std::size_t i = 1; i < 3; ++i) {
    group.Target(i).applyLag_ = row.lag_;
  }
  group.SetUp();
  const auto outcome = RunLoad(group,
                               { .perSecond_ = 300,
                                 .length_ = 20s,
                                 .readShare_ = row.readShare_,
                                 .deadline_ = 1s,
                                 .ignoreFloors_ = row.ignoreFloors_ });
  const auto stale =
    std::count_if(group.violations_.begin(),
                  group.violations_.end(),
                  [](const std::string& aText) {
                    return aText.find("misses a write") != std::string::npos;
                  });
  const auto share = [&](std::size_t aPart) {
    return static_cast<double>(aPart) / static_cast<double>(outcome.reads_);
  };
  std::cout << std::fixed << std::setprecision(3) << "replica_share,lag_ms,"
            << foundation::ToMilliseconds(row.lag_) << ",mix," << row.readShare_
            << ",blind," << row.ignoreFloors_ << ",reads," << outcome.reads_
            << ",share," << share(outcome.byReplica_) << ",oracle,"
            << share(outcome.oracle_) << ",stale," << stale << ",done,"
            << outcome.done_ << ",asked," << outcome.requests_ << '\n';
  CHECK(share(outcome.byReplica_) >=
        row.minShareOfOracle_ * share(outcome.oracle_));
  CHECK((stale > 0) == row.ignoreFloors_);
}

} // namespace wigeonlb::core::traffic::tests
