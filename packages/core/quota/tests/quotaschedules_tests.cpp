#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "core/quota/tokenholder.h"

// Schedules of holders, control leaders and faults on virtual time. Checked is
// what targets see: the operations that run within each window.
namespace wigeonlb::core::quota {

using namespace std::chrono_literals;
using foundation::Duration;
using foundation::Instant;

namespace {

constexpr Instant kStart{ 1000s };
constexpr Duration kStep = 5ms;
constexpr std::size_t kHolders = 8;
constexpr Duration kLength = 30s;
constexpr int kSeeds = 60;

//! A leader's buckets are empty at first.
constexpr Duration kWarmUp = 3s;

struct Faults
{
  bool leaders_ = false; //!< the leader changes, with a gap
  bool cuts_ = false;    //!< messages of a holder are lost for some time
  bool pauses_ = false;  //!< a holder stands still
  bool kills_ = false;   //!< all holders start again
};

struct Operation
{
  Instant sentAt_;
  Instant ranAt_;
};

struct Waiting
{
  Instant sentAt_;
  Instant arrivedAt_;
};

struct SimulatedHolder
{
  TokenHolder state_;
  std::deque<Waiting> waiting_;
  Instant cutUntil_;
  Instant pausedUntil_;
  double share_ = 0; //!< part of all arrivals
};

class Schedule
{
public:
  Schedule(int aSeed, Limit aLimit, double aDemand, Faults aFaults)
    : random_(static_cast<std::mt19937_64::result_type>(aSeed))
    , limit_(aLimit)
    , demand_(aDemand)
    , faults_(aFaults)
  {
    for (std::size_t index = 0; index < kHolders; ++index) {
      holders_[index].state_.boot_ = 1;
      holders_[index].share_ = 1.0 / kHolders;
    }
    StartLeader();
  }

  void Run()
  {
    for (now_ = kStart; now_ < kStart + kLength; now_ += kStep) {
      if (lowerAt_ == now_) {
        limit_ = lowered_;
        SetLimits(allocator_, { { "org", limit_ } }, now_);
      }
      BringFaults();
      DeliverMessages();
      for (std::size_t index = 0; index < kHolders; ++index) {
        StepHolder(index);
      }
    }
  }

  //! All arrivals go to one holder from then on.
  void MoveDemandTo(std::size_t aHolder)
  {
    for (std::size_t index = 0; index < kHolders; ++index) {
      holders_[index].share_ = index == aHolder ? 1 : 0;
    }
  }

  //! Largest number of operations over the bound of any window that begins
  //! within a time; negative if all are below it.
  double FindExcess(Instant aBegin, Instant aEnd, const Limit& aLimit)
  {
    const Tolerance tolerance;
    const double seconds =
      std::chrono::duration<double>(tolerance.window_).count();
    const double bound = (aLimit.ratePerSecond_ * seconds + aLimit.burst_) *
                           (1 + tolerance.overage_) +
                         tolerance.slack_;
    std::ranges::sort(ran_, {}, &Operation::ranAt_);
    double most = 0;
    for (const Operation& last : ran_) {
      const Instant begin = last.ranAt_ - tolerance.window_;
      if (begin < aBegin || begin >= aEnd) {
        continue;
      }
      most = std::max(
        most,
        static_cast<double>(std::ranges::count_if(ran_, [&](const auto& aRun) {
          return aRun.sentAt_ >= begin && aRun.ranAt_ <= last.ranAt_;
        })));
    }
    return most - bound;
  }

  //! Parts of the operations that ran, and that ran without a wait.
  std::pair<double, double> GetServed() const
  {
    const auto all = static_cast<double>(arrivals_);
    const auto ran = std::ranges::count_if(
      ran_, [](const auto& aRun) { return aRun.sentAt_ >= kStart + kWarmUp; });
    return { static_cast<double>(ran) / all,
             static_cast<double>(ranAtOnce_) / all };
  }

  std::size_t CountRun(Instant aFrom) const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      ran_, [&](const auto& aRun) { return aRun.ranAt_ >= aFrom; }));
  }

  Instant lowerAt_;
  Limit lowered_;

private:
  double Draw(double aMost)
  {
    return std::uniform_real_distribution<double>(0, aMost)(random_);
  }
  Duration DrawDuration(Duration aMost)
  {
    return Duration(
      static_cast<std::int64_t>(Draw(static_cast<double>(aMost.count()))));
  }

  void StartLeader()
  {
    leads_ = true;
    StartLeading(allocator_, now_);
    SetLimits(allocator_, { { "org", limit_ } }, now_);
  }

  void BringFaults()
  {
    const double perStep = std::chrono::duration<double>(kStep).count();
    if (!leads_ && now_ >= leaderAt_) {
      StartLeader();
    } else if (faults_.leaders_ && leads_ && Draw(1) < perStep / 4) {
      leads_ = false;
      leaderAt_ = now_ + 1s + DrawDuration(1s);
    }
    SimulatedHolder& holder = holders_[random_() % kHolders];
    if (faults_.cuts_ && Draw(1) < perStep / 2) {
      holder.cutUntil_ = now_ + DrawDuration(3s);
    }
    if (faults_.pauses_ && Draw(1) < perStep / 2) {
      holder.pausedUntil_ = now_ + DrawDuration(4s);
    }
    if (faults_.kills_ && Draw(1) < perStep / 8) {
      for (SimulatedHolder& each : holders_) {
        const std::uint64_t boot = each.state_.boot_ + 1;
        each.state_ = TokenHolder{ .boot_ = boot };
        each.waiting_.clear();
      }
    }
  }

  //! Messages take up to 30 ms, so that they may overtake each other.
  void Send(std::function<void()> aDeliver)
  {
    messages_.emplace(now_ + DrawDuration(30ms), std::move(aDeliver));
  }

  void DeliverMessages()
  {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const auto deliver = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      deliver();
    }
  }

  void StepHolder(std::size_t aIndex)
  {
    SimulatedHolder& holder = holders_[aIndex];
    const double expected =
      demand_ * holder.share_ * std::chrono::duration<double>(kStep).count();
    int arrivals = std::poisson_distribution<int>(expected)(random_);
    if (now_ < holder.pausedUntil_) {
      for (; arrivals > 0; --arrivals) {
        holder.waiting_.push_back({ now_, now_ }); // in its socket
      }
      unread_[aIndex] = true;
      return;
    }
    if (unread_[aIndex]) {
      unread_[aIndex] = false;
      std::deque<Waiting> received;
      received.swap(holder.waiting_);
      holder.state_.organisations_["org"].waiting_ = 0;
      for (const Waiting& waiting : received) {
        Arrive(holder, waiting.sentAt_);
      }
    }
    for (; arrivals > 0; --arrivals) {
      Arrive(holder, now_);
    }
    DecideWaiting(holder);
    if (auto request = MakeRequest(holder.state_, now_)) {
      const bool cut = now_ < holder.cutUntil_;
      if (!cut) {
        Send([this, aIndex, request = std::move(*request)] {
          OnRequest(aIndex, request);
        });
      }
    }
  }

  void Arrive(SimulatedHolder& aHolder, Instant aSentAt)
  {
    const Admission admission = Admit(aHolder.state_, "org", now_);
    const bool counts = now_ >= kStart + kWarmUp && aSentAt == now_;
    arrivals_ += counts ? 1 : 0;
    ranAtOnce_ += counts && admission.decision_ == Decision::Admitted ? 1 : 0;
    if (admission.decision_ == Decision::Waits) {
      aHolder.waiting_.push_back({ aSentAt, now_ });
    }
    RunIfAdmitted(admission, aSentAt);
  }

  void DecideWaiting(SimulatedHolder& aHolder)
  {
    while (!aHolder.waiting_.empty()) {
      const Admission admission = AdmitWaiting(
        aHolder.state_, "org", aHolder.waiting_.front().arrivedAt_, now_);
      if (admission.decision_ == Decision::Waits) {
        return;
      }
      RunIfAdmitted(admission, aHolder.waiting_.front().sentAt_);
      aHolder.waiting_.pop_front();
    }
  }

  //! An operation reaches its target after it has waited in a queue.
  void RunIfAdmitted(const Admission& aAdmission, Instant aSentAt)
  {
    if (aAdmission.decision_ == Decision::Admitted) {
      ran_.push_back({ aSentAt, now_ + DrawDuration(400ms) });
    }
  }

  void OnRequest(std::size_t aIndex, const wire::QuotaRequest& aRequest)
  {
    if (!leads_) {
      return;
    }
    const wire::QuotaReply reply =
      Allocate(allocator_, std::to_string(aIndex), aRequest, now_);
    Send([this, aIndex, reply] {
      SimulatedHolder& holder = holders_[aIndex];
      if (now_ >= holder.cutUntil_ && now_ >= holder.pausedUntil_) {
        OnReply(holder.state_, reply, now_);
      }
    });
  }

  std::mt19937_64 random_;
  Limit limit_;
  double demand_;
  Faults faults_;
  Instant now_ = kStart;
  Allocator allocator_;
  bool leads_ = false;
  Instant leaderAt_;
  std::array<SimulatedHolder, kHolders> holders_;
  std::array<bool, kHolders> unread_{};
  std::multimap<Instant, std::function<void()>> messages_;
  std::vector<Operation> ran_;
  std::size_t arrivals_ = 0;
  std::size_t ranAtOnce_ = 0;
};

} // namespace

TEST_CASE("an organisation exceeds its quota in no window", "[quotaschedules]")
{
  struct Row
  {
    std::string description_;
    Faults faults_;
  };
  const auto row = GENERATE(values<Row>({
    { "no fault", {} },
    { "leaders change", { .leaders_ = true } },
    { "holders are cut off", { .cuts_ = true } },
    { "holders stand still past the lifetime of their tokens",
      { .pauses_ = true } },
    { "all holders start again", { .kills_ = true } },
    { "everything", { true, true, true, true } },
  }));
  const auto limit =
    GENERATE(values<Limit>({ { 100, 100 }, { 8, 8 }, { 2, 2 }, { 40, 0 } }));
  CAPTURE(row.description_, limit.ratePerSecond_, limit.burst_);
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed, limit, 5 * limit.ratePerSecond_ + 5, row.faults_);
    schedule.Run();
    CHECK(schedule.FindExcess(Instant(), Instant::max(), limit) <= 0);
  }
}

TEST_CASE(
  "an organisation does not exceed a lowered limit from one window after "
  "the change",
  "[quotaschedules]")
{
  const Limit before{ 100, 100 };
  const Limit after{ 20, 20 };
  for (int seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed, before, 400, { .leaders_ = true, .cuts_ = true });
    schedule.lowerAt_ = kStart + 10s;
    schedule.lowered_ = after;
    schedule.Run();
    CHECK(schedule.FindExcess(Instant(), schedule.lowerAt_, before) <= 0);
    CHECK(schedule.FindExcess(schedule.lowerAt_ + 5s, Instant::max(), after) <=
          0);
  }
}

TEST_CASE("an organisation alone gets its limit wherever its sessions are",
          "[quotaschedules]")
{
  const bool oneHolder = GENERATE(false, true);
  const auto limit = GENERATE(values<Limit>({ { 200, 200 }, { 10, 10 } }));
  CAPTURE(oneHolder, limit.ratePerSecond_);
  for (int seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Schedule schedule(seed, limit, limit.ratePerSecond_ * 2, {});
    if (oneHolder) {
      schedule.MoveDemandTo(3);
    }
    schedule.Run();
    // Each window of 5 s allows its burst once.
    const double expected = (limit.ratePerSecond_ + limit.burst_ / 5) * 25;
    CHECK(static_cast<double>(schedule.CountRun(kStart + 5s)) >=
          0.95 * expected);
  }
}

// Guards against too few tokens requested early: half of the operations of
// small organisations then waited for one.
TEST_CASE("an organisation with its usual demand is neither refused nor kept "
          "waiting",
          "[quotaschedules]")
{
  const auto [rate, atOnce] = GENERATE(table<double, double>({
    { 2, 0 }, // a round trip each
    { 20, 0.6 },
    { 100, 0.8 },
    { 440, 0.9 },
  }));
  double ran = 0;
  double ranAtOnce = 0;
  constexpr int kRuns = 5;
  for (int seed = 1; seed <= kRuns; ++seed) {
    Schedule schedule(seed, { rate, rate }, rate / 1.6, {});
    schedule.Run();
    ran += schedule.GetServed().first / kRuns;
    ranAtOnce += schedule.GetServed().second / kRuns;
  }
  CAPTURE(rate);
  CHECK(ran >= 0.95);
  CHECK(ranAtOnce >= atOnce);
}

} // namespace wigeonlb::core::quota
