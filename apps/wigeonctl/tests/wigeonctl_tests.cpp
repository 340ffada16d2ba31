#include <catch2/catch.hpp>

#include <deque>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "commands.h"
#include "http/httpserver.h"

namespace wigeonlb::ctl {

namespace {

std::string
NoEnvironment(const char* /*aName*/)
{
  return {};
}

std::string
SomeEnvironment(const char* aName)
{
  return aName == std::string("WIGEONCTL_HOST") ? "a:1,b:2" : "ana";
}

//! A host that returns aAnswers in turn, and repeats the last one.
struct TestHost
{
  explicit TestHost(std::deque<http::HttpResponse> aAnswers)
    : answers_(std::move(aAnswers))
    , server_(context_, "127.0.0.1", 0, Handler())
  {
    REQUIRE_FALSE(server_.Start());
    thread_ = std::thread([this] { context_.run(); });
  }

  ~TestHost()
  {
    server_.Stop();
    thread_.join();
  }

  http::RequestHandler Handler()
  {
    return [this](const http::HttpRequest& aRequest, const auto& aRespond) {
      const std::lock_guard lock(mutex_);
      requests_.push_back(aRequest);
      const http::HttpResponse answer = answers_.front();
      if (answers_.size() > 1) {
        answers_.pop_front();
      }
      // Status 0 represents a lost answer.
      aRespond(answer.status_ == 0 ? http::HttpResponse{ .status_ = 504 }
                                   : answer);
    };
  }

  CtlSettings Settings(const std::string& aStatements) const
  {
    return { .argument_ = aStatements,
             .hosts_ = { "127.0.0.1:1",
                         "127.0.0.1:" + std::to_string(server_.Port()) },
             .operator_ = "ana",
             .timeout_ = std::chrono::seconds(20) };
  }

  std::mutex mutex_;
  std::deque<http::HttpResponse> answers_;
  std::vector<http::HttpRequest> requests_;
  boost::asio::io_context context_;
  http::HttpServer server_;
  std::thread thread_;
};

CommandResult
Run(const CtlSettings& aSettings, const std::string& aInput = {})
{
  std::istringstream input(aInput);
  return RunCommand(aSettings, input);
}

const std::string kState = R"({"results": [
  {"columns": ["name", "size"], "rows": [{"name": "a/1", "size": "3"}]},
  {"columns": ["name", "value"], "rows": [{"name": "revision", "value": "7"}]},
  {"columns": ["group", "target", "draining"], "rows": []}]})";

} // namespace

TEST_CASE("the command line is parsed and every error is found", "[wigeonctl]")
{
  struct Row
  {
    std::vector<std::string> arguments_;
    std::string findings_;
    Command command_;
    std::string argument_;
  };
  const auto row = GENERATE(values<Row>({
    { { "show hosts" }, "", Command::Statement, "show hosts" },
    { { "set group a x = 1, y = 2" },
      "",
      Command::Statement,
      "set group a x = 1, y = 2" },
    { { "--json", "--host", "x:1,y:2", "-" }, "", Command::Statement, "-" },
    { { "apply", "a,b", "c" },
      "apply: expected one file\n",
      Command::Apply,
      "a,b" },
    { { "apply", "f.wl", "--check" }, "", Command::Apply, "f.wl" },
    { { "replay", "t" }, "", Command::Replay, "t" },
    { { "--help" }, "", Command::Help, "" },
    { { "show", "hosts" },
      "command line: expected the statements as one argument, or -\n",
      Command::Statement,
      "show" },
    { { "apply", "--change-id", "c", "--host", "x", "--timeout-ms", "0" },
      "--timeout-ms: expected 1 to 3600000\n"
      "--host: expected ip:port, found x\n"
      "apply: expected one file\n"
      "--change-id: is only valid with statements; to retry apply, run it "
      "again: it compares first\n",
      Command::Apply,
      "" },
    { { "show hosts", "--check" },
      "--check: is only valid with apply\n",
      Command::Statement,
      "show hosts" },
  }));
  foundation::Findings findings;
  const CtlSettings settings =
    ParseCommandLine(row.arguments_, NoEnvironment, findings);
  CHECK(foundation::ToString(findings) == row.findings_);
  CHECK(settings.command_ == row.command_);
  CHECK(settings.argument_ == row.argument_);
}

TEST_CASE("hosts and operator default to the environment", "[wigeonctl]")
{
  foundation::Findings findings;
  const std::vector<std::string> arguments{ "show hosts" };
  const CtlSettings settings =
    ParseCommandLine(arguments, SomeEnvironment, findings);
  CHECK(settings.hosts_ == std::vector<std::string>{ "a:1", "b:2" });
  CHECK(settings.operator_ == "ana");
  CHECK(ParseCommandLine(arguments, NoEnvironment, findings).hosts_ ==
        std::vector<std::string>{ "127.0.0.1:7070" });
}

TEST_CASE("a final answer determines the exit code", "[wigeonctl]")
{
  struct Row
  {
    int status_;
    ExitCode exitCode_;
  };
  const auto row = GENERATE(values<Row>({
    { 200, ExitCode::Done },
    { 409, ExitCode::Refused },
    { 400, ExitCode::BadInput },
    { 413, ExitCode::BadInput },
  }));
  TestHost host({ { .status_ = row.status_, .body_ = "text\n" } });
  const CommandResult result = Run(host.Settings("-"), "drop group a");
  CHECK(result.exitCode_ == row.exitCode_);
  CHECK(result.output_ + result.error_ == "text\n");
  CHECK(host.requests_.size() == 1);
  CHECK(host.requests_.front().body_ == "drop group a");
}

TEST_CASE("a change is resent with its id until it is decided", "[wigeonctl]")
{
  TestHost host({ { .status_ = 0 },
                  { .status_ = 503, .body_ = "not decided" },
                  { .status_ = 200, .body_ = "accepted" } });
  CHECK(Run(host.Settings("drop group a")).exitCode_ == ExitCode::Done);
  REQUIRE(host.requests_.size() == 3);
  const std::string id = host.requests_[0].query_["change_id"];
  CHECK(id.size() == 32);
  CHECK(host.requests_[2].query_["change_id"] == id);
  CHECK(host.requests_[2].query_["operator"] == "ana");
}

TEST_CASE("an unresolved command reports what is known of its outcome",
          "[wigeonctl]")
{
  struct Row
  {
    std::string statement_;
    std::deque<http::HttpResponse> answers_;
    std::string lastLine_;
  };
  const http::HttpResponse lost{ .status_ = 0 };
  const http::HttpResponse refused{ .status_ = 503, .body_ = "not decided\n" };
  const auto row = GENERATE_COPY(values<Row>({
    { "drop group a", { refused }, "unreachable: nothing was applied\n" },
    { "drop group a",
      { lost, refused },
      "unknown: the change may have been applied; resend it with --change-id "
      "c\n" },
    { "show hosts", { lost }, "no host answered in time\n" },
  }));
  TestHost host(row.answers_);
  CtlSettings settings = host.Settings(row.statement_);
  settings.changeId_ = "c";
  settings.timeout_ = std::chrono::milliseconds(500);
  const CommandResult result = Run(settings);
  CHECK(result.exitCode_ == ExitCode::Unknown);
  CHECK_THAT(result.error_, Catch::EndsWith(row.lastLine_));
}

TEST_CASE("apply sends the differences from the current state", "[wigeonctl]")
{
  struct Row
  {
    std::string file_;
    bool check_;
    std::string sent_;
    ExitCode exitCode_;
    std::string output_;
  };
  const auto row = GENERATE(values<Row>({
    { "create group a/1 with size = 5",
      false,
      "set group 'a/1' 'size' = '5' if revision 7;\n",
      ExitCode::Done,
      "unchanged  create group 'a/1'\n"
      "change     set group 'a/1' 'size' = '5'  (now 3)\naccepted\n" },
    { "create group a/1 with size = 5",
      true,
      "",
      ExitCode::Done,
      "unchanged  create group 'a/1'\n"
      "change     set group 'a/1' 'size' = '5'  (now 3)\n" },
    { "create group a/1",
      false,
      "",
      ExitCode::Done,
      "unchanged  create group 'a/1'\n" },
    { "create group;\nshow hosts",
      false,
      "",
      ExitCode::BadInput,
      "-:1:13: expected a group name, found the end of the statement\n"
      "-:2:1: changes nothing\n" },
  }));
  TestHost host({ { .body_ = kState }, { .body_ = "accepted\n" } });
  CtlSettings settings = host.Settings("-");
  settings.command_ = Command::Apply;
  settings.check_ = row.check_;
  const CommandResult result = Run(settings, row.file_);
  CHECK(result.exitCode_ == row.exitCode_);
  CHECK(result.output_ + result.error_ == row.output_);
  const std::string sent =
    host.requests_.size() > 1 ? host.requests_[1].body_ : "";
  CHECK(sent == row.sent_);
}

TEST_CASE("apply and replay fail if the file can't be read", "[wigeonctl]")
{
  CtlSettings settings;
  settings.argument_ = "no/such/file";
  settings.files_ = { settings.argument_ };
  settings.command_ = GENERATE(Command::Apply, Command::Replay);
  CHECK(Run(settings).exitCode_ == ExitCode::BadInput);
}

TEST_CASE("replay compares traces with their expected findings", "[wigeonctl]")
{
  struct Row
  {
    std::vector<std::string> files_;
    ExitCode exitCode_;
    std::string_view output_; //!< part of it
    std::string_view error_;
  };
  const auto row = GENERATE(values<Row>({
    { { "one-hand-over-on" }, ExitCode::Done, " 0 expected findings", "" },
    { { "one-hand-over-off" }, ExitCode::Done, " 0 differences", "" },
    { { "killed-primary" }, ExitCode::Done, " decisions repeated", "" },
    { { "synced-on", "one-hand-over-on" }, ExitCode::Done, "5 traces", "" },
    { { "stale-outcome" },
      ExitCode::Refused,
      "2 differences",
      ":3: handed-over-twice: request 1" },
    { { "stale-outcome" },
      ExitCode::Refused,
      "2 differences",
      ":2: one-log: expected, but not found" },
    { { "cut" }, ExitCode::BadInput, "", ":2: the last record is cut off" },
  }));
  CtlSettings settings;
  settings.command_ = Command::Replay;
  for (const std::string& file : row.files_) {
    const std::string own = WIGEONLB_TEST_DATA "/" + file + ".trace";
    settings.files_.push_back(
      std::ifstream(own) ? own : WIGEONLB_TRACES "/" + file + ".trace");
  }
  const CommandResult result = Run(settings);
  INFO(result.output_ << result.error_);
  CHECK(result.exitCode_ == row.exitCode_);
  CHECK(result.output_.find(row.output_) != std::string::npos);
  CHECK(result.error_.find(row.error_) != std::string::npos);
}

} // namespace wigeonlb::ctl
