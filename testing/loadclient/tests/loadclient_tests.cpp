#include <catch2/catch.hpp>

#include <map>
#include <sstream>

#include "testing/harness/childprocess.h"
#include "testing/harness/pgclient.h"

namespace wigeonlb::testing::loadclient {

using harness::ChildProcess;

namespace {

using Arguments = std::vector<std::string>;

std::vector<std::string>
Split(const std::string& aLine)
{
  std::vector<std::string> parts;
  std::istringstream stream(aLine);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct Run
{
  int status_ = -1;
  std::map<std::string, std::uint64_t> statistics_;
};

Run
RunClient(const Arguments& aExtraArguments)
{
  Arguments arguments{ WIGEONLB_LOADCLIENT, "--seed", "7" };
  arguments.insert(
    arguments.end(), aExtraArguments.begin(), aExtraArguments.end());
  ChildProcess client(arguments);
  const auto names = Split(client.FirstLine());
  std::istringstream rest(client.ReadRest());
  std::string line;
  std::getline(rest, line);
  const auto values = Split(line);
  Run run;
  run.status_ = client.Wait();
  REQUIRE(names.size() == values.size());
  for (std::size_t i = 0; i < names.size(); ++i) {
    run.statistics_[names[i]] = std::stoull(values[i]);
  }
  return run;
}

const Arguments kPrimary{ WIGEONLB_STANDIN,
                          "--listen",
                          "127.0.0.1:0",
                          "--role",
                          "primary" };

} // namespace

TEST_CASE("a run against a correct server succeeds", "[loadclient]")
{
  const bool direct = GENERATE(false, true);
  ChildProcess primary(kPrimary);
  Arguments arguments{ "--hosts",    primary.Address(),
                       "--sessions", "4",
                       "--requests", "100",
                       "--seconds",  "60" };
  if (direct) {
    arguments.emplace_back("--direct");
  }
  auto run = RunClient(arguments);
  CHECK(run.status_ == 0);
  CHECK(run.statistics_["reads"] + run.statistics_["writes"] == 400);
  CHECK(run.statistics_["acknowledged"] == run.statistics_["writes"]);
  CHECK(run.statistics_["tolerant_reads"] > 0);
  CHECK(run.statistics_["reads_failed"] == 0);
  CHECK(run.statistics_["read_p99_us"] >= run.statistics_["read_p50_us"]);
}

TEST_CASE("stale reads from a replica that never applies are detected",
          "[loadclient]")
{
  ChildProcess primary(kPrimary);
  ChildProcess replica({ WIGEONLB_STANDIN,
                         "--listen",
                         "127.0.0.1:0",
                         "--peers",
                         primary.Address() });
  harness::RunOnce(primary.Address(),
                   "CREATE TABLE ledger(id text, session text, n integer)");
  REQUIRE(harness::WaitUntil([&] {
    return harness::RunOnce(replica.Address(), "SELECT count(*) FROM ledger")
             .Text() == "0";
  }));
  harness::RunOnce(replica.Address(),
                   "SELECT standin_set('apply_delay_ms','3600000')");
  auto run = RunClient({ "--hosts",
                         primary.Address() + "," + replica.Address(),
                         "--sessions",
                         "2",
                         "--requests",
                         "200",
                         "--seconds",
                         "60",
                         "--move-share",
                         "0.3",
                         "--max-age-ms",
                         "0" });
  CHECK(run.status_ == 1);
  CHECK(run.statistics_["stale"] > 0);
  CHECK(run.statistics_["too_old"] > 0);
  CHECK(run.statistics_["failed"] > 0);
  CHECK(run.statistics_["failed_present"] == 0);
  CHECK(run.statistics_["doubled"] == 0);
}

TEST_CASE("invalid command lines are rejected", "[loadclient]")
{
  struct Row
  {
    Arguments arguments_;
    int status_;
  };
  const auto row = GENERATE(values<Row>({
    { {}, 2 },
    { { "--hosts", "127.0.0.1:1", "--write-share", "2" }, 2 },
    { { "--none" }, 2 },
    { { "--help" }, 0 },
  }));
  Arguments arguments{ WIGEONLB_LOADCLIENT };
  arguments.insert(
    arguments.end(), row.arguments_.begin(), row.arguments_.end());
  ChildProcess client(arguments);
  client.ReadRest();
  CHECK(client.Wait() == row.status_);
}

} // namespace wigeonlb::testing::loadclient
