#include <iostream>
#include <map>

#include <catch2/catch.hpp>

#include "core/consensus/tests/networkschedules.h"
#include "core/trace/checktraces.h"

namespace wigeonlb::core::trace::tests {

namespace {

using consensus::NetworkSettings;

constexpr std::uint64_t kSchedules = 200;

//! Records the events of the members and the host in a simulated network.
class NetworkTraces
{
public:
  explicit NetworkTraces(NetworkSettings& aSettings)
  {
    auto& observer = aSettings.observer_;
    observer.started_ = [this](const auto& aHost, auto aNow) {
      Begin(aHost, aNow);
    };
    observer.replaced_ =
      [this](const auto& aHost, const wire::ControlState& aState, auto aNow) {
        *Append(aHost, aNow).mutable_control_state() = aState;
      };
    observer.applying_ =
      [this](const auto& aHost, const wire::ConsensusEntry& aEntry, auto aNow) {
        *Append(aHost, aNow).mutable_applied() = aEntry;
      };
    observer.leadership_ = [this](const auto& aHost,
                                  const consensus::LeadershipChanged& aChange,
                                  auto aNow) {
      auto& leadership = *Append(aHost, aNow).mutable_leadership();
      leadership.set_leader(aChange.leader_);
      leadership.set_term(aChange.term_);
    };
    observer.revision_ = [this](std::uint64_t aRevision, auto aNow) {
      if (!last_.contains("host")) {
        Begin("host", aNow);
      }
      Append("host", aNow).mutable_revision_in_force()->set_revision(aRevision);
    };
  }
  NetworkTraces(const NetworkTraces&) = delete;
  NetworkTraces& operator=(const NetworkTraces&) = delete;

  std::vector<Trace> traces_;

private:
  void Begin(const std::string& aHost, foundation::Instant aNow)
  {
    last_[aHost] = traces_.size();
    traces_.push_back({ aHost, {} });
    auto& header = *Append(aHost, aNow).mutable_header();
    header.set_version(kTraceVersion);
    header.set_host(aHost);
    header.set_boot(traces_.size());
    header.set_clock("network");
  }

  wire::TraceRecord& Append(const std::string& aHost, foundation::Instant aNow)
  {
    auto& records = traces_[last_.at(aHost)].records_;
    auto& record = records.emplace_back();
    record.set_number(records.size());
    record.set_at_us(
      static_cast<std::uint64_t>(aNow.time_since_epoch().count()));
    return record;
  }

  std::map<std::string, std::size_t> last_; //!< latest trace index by host
};

} // namespace

TEST_CASE("recorded consensus schedules have no findings", "[trace][schedules]")
{
  std::size_t records = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
    NetworkSettings settings;
    settings.seed_ = seed;
    settings.members_ = seed % 3 == 0 ? 5 : 3;
    settings.lossPercent_ = static_cast<int>(seed % 20);
    const NetworkTraces recorded(settings);
    RunSchedule(settings, { .changesMembers_ = seed % 2 == 0 });
    INFO("seed " << seed);
    for (const auto& finding : CheckTraces(recorded.traces_)) {
      FAIL_CHECK(finding.number_ << " " << finding.rule_ << ": "
                                 << finding.text_);
    }
    for (const auto& trace : recorded.traces_) {
      records += trace.records_.size();
    }
  }
  std::cout << "consensus schedules," << kSchedules << ",records," << records
            << '\n';
}

TEST_CASE("the checker finds a decreasing revision", "[trace][schedules]")
{
  std::uint64_t found = 0;
  for (std::uint64_t seed = 1; seed <= kSchedules && found == 0; ++seed) {
    NetworkSettings settings;
    settings.seed_ = seed;
    settings.configurationGuards_.ignoreOlderRevisions_ = false;
    const NetworkTraces recorded(settings);
    RunSchedule(settings, {});
    for (const auto& finding : CheckTraces(recorded.traces_)) {
      found = finding.rule_ == rule::kRevisionBack ? seed : found;
    }
  }
  std::cout << "revision-back without its guard: seed " << found << '\n';
  CHECK(found > 0);
}

} // namespace wigeonlb::core::trace::tests
