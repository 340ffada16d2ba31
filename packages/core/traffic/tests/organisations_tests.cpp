#include <catch2/catch.hpp>

#include <cmath>
#include <iostream>
#include <numeric>
#include <random>

#include "core/traffic/tests/fakegroup.h"

// Connections that belong to one organisation each. The load: many
// organisations of uneven size share the few connections to a target.
namespace wigeonlb::core::traffic::tests {

namespace {

//! Draws organisations whose traffic falls off with their rank.
class Organisations
{
public:
  explicit Organisations(std::size_t aCount)
  {
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= aCount; ++rank) {
      weights.push_back(std::pow(static_cast<double>(rank), -1.2));
    }
    draw_ = std::discrete_distribution<int>(weights.begin(), weights.end());
  }

  //! Part of the traffic of all but the aCount largest ones.
  double GetRest(std::size_t aCount) const
  {
    const std::vector<double> parts = draw_.probabilities();
    return std::accumulate(
      parts.begin() + static_cast<std::ptrdiff_t>(aCount), parts.end(), 0.0);
  }

  foundation::Tenant Draw(std::mt19937& aRandom)
  {
    return "org" + std::to_string(draw_(aRandom));
  }

private:
  std::discrete_distribution<int> draw_;
};

struct Outcome
{
  std::size_t sent_ = 0;
  std::size_t done_ = 0;
};

Outcome
Play(FakeGroup& aGroup,
     std::size_t aOrganisations,
     std::size_t aRequests,
     Duration aInterval,
     wire::StatementClass aClass)
{
  Organisations organisations(aOrganisations);
  std::vector<RequestId> sent;
  for (std::size_t i = 0; i < aRequests; ++i) {
    RequestSpec spec;
    spec.session_ = 1 + static_cast<SessionId>(i);
    spec.class_ = aClass;
    spec.deadline_ = 800ms;
    spec.tenant_ = organisations.Draw(aGroup.random_);
    sent.push_back(aGroup.Send(spec));
    aGroup.Run(aInterval);
  }
  aGroup.Run(1s);
  Outcome outcome{ sent.size(), 0 };
  for (const RequestId& id : sent) {
    const auto found = aGroup.results_.find(id);
    outcome.done_ += found != aGroup.results_.end() &&
                         found->second.finish_.outcome_ == wire::OUTCOME_DONE
                       ? 1
                       : 0;
  }
  return outcome;
}

FakeGroup
MakeGroup(std::uint32_t aSlots)
{
  FakeGroup group(Settings{}, 3, aSlots);
  group.byOrganisation_ = true;
  group.SetUp();
  return group;
}

} // namespace

TEST_CASE("a statement runs on a connection of its own organisation only",
          "[organisations]")
{
  const auto [organisations, kind] =
    GENERATE(table<std::size_t, wire::StatementClass>({
      { 2, wire::STATEMENT_WRITE },
      { 30, wire::STATEMENT_WRITE },
      { 2, wire::STATEMENT_READ },
      { 30, wire::STATEMENT_READ },
    }));
  CAPTURE(organisations, kind);
  FakeGroup group = MakeGroup(3);
  const Outcome outcome = Play(group, organisations, 600, 15ms, kind);
  CHECK(group.Violations().empty());
  CHECK(outcome.done_ == outcome.sent_);
}

TEST_CASE("organisations don't evict each other's connections in turns",
          "[organisations]")
{
  FakeGroup group = MakeGroup(3);
  const Outcome outcome = Play(group, 73, 3000, 5ms, wire::STATEMENT_WRITE);
  std::cout << "organisations,73,share,8,statements," << outcome.sent_
            << ",done," << outcome.done_ << ",connections_opened,"
            << group.opened_ << '\n';
  CHECK(group.Violations().empty());
  CHECK(outcome.done_ >= outcome.sent_ * 98 / 100);
  // With the connections reserved for the largest organisations, each
  // statement of another one would need a new one.
  const double best = Organisations(73).GetRest(8);
  CHECK(static_cast<double>(group.opened_) <=
        1.2 * best * static_cast<double>(outcome.sent_));
}

TEST_CASE("an organisation with few requests is not kept out by organisations "
          "with constant load",
          "[organisations]")
{
  FakeGroup group = MakeGroup(3);
  std::vector<RequestId> rare;
  for (int i = 0; i < 3000; ++i) {
    group.Send({ .session_ = 1000U + static_cast<SessionId>(i),
                 .deadline_ = 100ms,
                 .tenant_ = "busy" + std::to_string(i % 10) });
    if (i % 300 == 0) {
      rare.push_back(group.Send({ .session_ = 1U + static_cast<SessionId>(i),
                                  .deadline_ = 500ms,
                                  .tenant_ = "rare" + std::to_string(i) }));
    }
    group.Run(1ms);
  }
  group.Run(1s);
  for (const RequestId& id : rare) {
    CAPTURE(group.results_.at(id).finish_.message_);
    CHECK(group.results_.at(id).finish_.outcome_ == wire::OUTCOME_DONE);
  }
  CHECK(group.Violations().empty());
}

TEST_CASE("connections of all are not used once organisations are separated",
          "[organisations]")
{
  FakeGroup group(Settings{}, 3, 3);
  group.SetUp();
  group.Do({ .session_ = 1 });
  group.byOrganisation_ = true;
  group.Announce();
  const Finish finish = group.Do({ .session_ = 2, .tenant_ = "org" });
  CHECK(finish.outcome_ == wire::OUTCOME_DONE);
  CHECK(group.Violations().empty());
}

} // namespace wigeonlb::core::traffic::tests
