#include <catch2/catch.hpp>

#include "traffic/routingtable.h"

namespace wigeonlb::daemon::traffic {

using namespace std::chrono_literals;

// Guards against names that are refused as unknown by an aged configuration.
TEST_CASE("a name is unknown only by a recent confirmation", "[routingtable]")
{
  const foundation::Instant now(1h);
  struct Row
  {
    std::string_view what_;
    std::string_view name_;
    bool hasConfiguration_;
    bool needsConfirmation_;
    std::optional<foundation::Duration> age_; //!< of the confirmation
    NameVerdict verdict_;
  };
  const auto row = GENERATE(values<Row>({
    { "known", "d", true, true, 10ms, NameVerdict::Known },
    { "known, the host is cut off", "d", true, true, 1h, NameVerdict::Known },
    { "known, never confirmed", "d", true, true, {}, NameVerdict::Known },
    { "confirmed just now", "e", true, true, 10ms, NameVerdict::Unknown },
    { "at the limit", "e", true, true, 1000ms, NameVerdict::Unknown },
    { "past it", "e", true, true, 1001ms, NameVerdict::MayExist },
    { "the host stood still", "e", true, true, 3300ms, NameVerdict::MayExist },
    { "never confirmed", "e", true, true, {}, NameVerdict::MayExist },
    { "no control members", "e", true, false, {}, NameVerdict::Unknown },
    { "its group is gone", "f", true, true, 10ms, NameVerdict::Unknown },
    { "its group is gone, aged", "f", true, true, 2s, NameVerdict::MayExist },
    { "just started", "d", false, true, {}, NameVerdict::NoConfiguration },
  }));
  INFO(row.what_);
  auto table = std::make_shared<RoutingTable>();
  table->hasConfiguration_ = row.hasConfiguration_;
  table->groups_["g"];
  table->databases_["d"].group_ = "g";
  table->databases_["f"].group_ = "gone";
  if (row.needsConfirmation_) {
    const auto confirmation = std::make_shared<TableConfirmation>();
    if (row.age_) {
      const core::configuration::Confirmation last{ 7, now - *row.age_, "a" };
      confirmation->Set(&last);
    }
    table->confirmation_ = confirmation;
  }
  CHECK(JudgeName(table, row.name_, now) == row.verdict_);
}

TEST_CASE("a host without a table knows no configuration", "[routingtable]")
{
  CHECK(JudgeName(nullptr, "d", {}) == NameVerdict::NoConfiguration);
}

// Guards against keys that are refused by an aged configuration, and against
// keys that are served after they were withdrawn.
TEST_CASE("a key is unknown only by a recent confirmation", "[routingtable]")
{
  const foundation::Instant now(1h);
  struct Row
  {
    std::string_view what_;
    std::string_view key_;
    bool hasConfiguration_;
    foundation::Duration age_; //!< of the confirmation
    NameVerdict verdict_;
  };
  const auto row = GENERATE(values<Row>({
    { "known", "k", true, 10ms, NameVerdict::Known },
    { "known, the host is cut off", "k", true, 1h, NameVerdict::Known },
    { "withdrawn", "l", true, 10ms, NameVerdict::Unknown },
    { "unknown, the host stood still", "l", true, 3s, NameVerdict::MayExist },
    { "just started", "k", false, 10ms, NameVerdict::NoConfiguration },
  }));
  INFO(row.what_);
  auto table = std::make_shared<RoutingTable>();
  table->hasConfiguration_ = row.hasConfiguration_;
  auto organisations = std::make_shared<OrganisationTable>();
  organisations->byKeyDigest_["k"] = "org";
  table->organisations_ = organisations;
  const auto confirmation = std::make_shared<TableConfirmation>();
  const core::configuration::Confirmation last{ 7, now - row.age_, "a" };
  confirmation->Set(&last);
  table->confirmation_ = confirmation;
  const KeyVerdict key = JudgeKey(table, row.key_, now);
  CHECK(key.verdict_ == row.verdict_);
  CHECK(key.organisation_ == (row.verdict_ == NameVerdict::Known ? "org" : ""));
}

// Guards against owners that keep connections for every organisation, so that
// organisations evict each other's.
TEST_CASE("entry hosts agree on the first owner for a small organisation",
          "[routingtable]")
{
  RoutingTable table;
  auto organisations = std::make_shared<OrganisationTable>();
  organisations->large_ = { "large" };
  GroupRoute here;
  here.owners_ = { "h1", "h2", "h3" };
  GroupRoute elsewhere;
  elsewhere.owners_ = { "h3", "h1", "h2" };
  CHECK(ListOwnersFor(table, "g", here, "small") == here.owners_);
  table.organisations_ = organisations;
  CHECK(ListOwnersFor(table, "g", here, "large") == here.owners_);
  std::set<foundation::HostId> first;
  for (int i = 0; i < 30; ++i) {
    const std::string name = "small" + std::to_string(i);
    const auto owners = ListOwnersFor(table, "g", here, name);
    CHECK(owners == ListOwnersFor(table, "g", elsewhere, name));
    CHECK(owners.size() == 3);
    first.insert(owners.front());
  }
  CHECK(first.size() == 3);
}

} // namespace wigeonlb::daemon::traffic
