#include "foundation/metrics.h"
#include "tests/shardfixture.h"

namespace wigeonlb::daemon::traffic {

namespace {

const std::string kReady("Z\0\0\0\5", 5);
const std::string kKey = "v3nax7u27gxprymh2rry";

//! Answers the next request as done. Returns the organisation that it names.
std::string
ServeNext(ShardFixture& aFixture)
{
  const auto [host, request] = aFixture.NextRequest();
  aFixture.SendEnd(aFixture.MakeEnd(request, wire::OUTCOME_NOT_RUN));
  aFixture.ReadUntil(kReady);
  return request.tenant();
}

} // namespace

TEST_CASE("a key identifies its present holder in an open session",
          "[organisationsessions]")
{
  ShardFixture fixture;
  fixture.user_ = kKey;
  fixture.SetOrganisations({ { kKey, "org1" } });
  fixture.Connect();
  fixture.Query("SELECT n FROM t");
  CHECK(ServeNext(fixture) == "org1");
  fixture.SetOrganisations({ { kKey, "org2" }, { "other", "org1" } });
  fixture.Query("SELECT n FROM t");
  CHECK(ServeNext(fixture) == "org2");
}

TEST_CASE("a withdrawn key runs nothing in an open session",
          "[organisationsessions]")
{
  ShardFixture fixture;
  fixture.user_ = kKey;
  fixture.SetOrganisations({ { kKey, "org1" } });
  fixture.Connect();
  fixture.SetOrganisations({ { "other", "org1" } });
  fixture.Query("SELECT n FROM t");
  CHECK(fixture.ReadUntil(kReady).find("28000") != std::string::npos);
  CHECK(fixture.port_.sent_.empty());
  fixture.SetOrganisations({ { kKey, "org1" } });
  fixture.Query("SELECT n FROM t");
  CHECK(ServeNext(fixture) == "org1");
}

TEST_CASE("a transaction goes on when its key is withdrawn",
          "[organisationsessions]")
{
  ShardFixture fixture;
  fixture.user_ = kKey;
  fixture.SetOrganisations({ { kKey, "org1" } });
  fixture.Connect();
  fixture.BeginTransaction();
  fixture.SetOrganisations({});
  fixture.Query("SELECT n FROM t");
  CHECK(fixture.NextRequest().second.tenant() == "org1");
}

TEST_CASE("a key reaches no other host, metric or table of sessions",
          "[organisationsessions]")
{
  const bool isKnown = GENERATE(true, false);
  CAPTURE(isKnown);
  ShardFixture fixture;
  fixture.user_ = kKey;
  fixture.SetOrganisations({ { kKey, "org1" } });
  fixture.Connect();
  if (!isKnown) {
    fixture.SetOrganisations({});
  }
  fixture.Query("SELECT n FROM t");
  std::string seen;
  if (isKnown) {
    const auto [host, request] = fixture.NextRequest();
    seen += request.SerializeAsString();
    fixture.SendEnd(fixture.MakeEnd(request, wire::OUTCOME_NOT_RUN));
  }
  seen += fixture.ReadUntil(kReady);
  for (const SessionRow& row : fixture.shard_->Sessions()) {
    seen += row.tenant_ + row.group_;
  }
  seen += foundation::ToPrometheusText(fixture.registry_.Snapshot());
  CHECK(seen.find(kKey) == std::string::npos);
}

} // namespace wigeonlb::daemon::traffic
