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

} // namespace wigeonlb::daemon::traffic
