#include "commands.h"

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

#include "core/trace/traceerrors.h"
#include "core/trace/tracereport.h"
#include "explain.h"
#include "operator/changeid.h"
#include "operator/plan.h"
#include "operator/tableview.h"

namespace wigeonlb::ctl {

using foundation::Findings;
using operators::PlanStep;
using operators::Statement;
using operators::Table;

namespace {

//! Queries for the state that `apply` compares a file with.
constexpr const char* kStateQueries = "show groups; show config; show targets";

constexpr const char* kQueryTimeoutText = "no host answered in time";

std::string
ReadAll(std::istream& aInput)
{
  std::ostringstream text;
  text << aInput.rdbuf();
  return text.str();
}

std::optional<std::string>
ReadFile(const std::string& aName, std::istream& aInput)
{
  if (aName == "-") {
    return ReadAll(aInput);
  }
  std::ifstream file(aName);
  if (!file) {
    return std::nullopt;
  }
  return ReadAll(file);
}

//! Whether the statements may contain a change. True if they can't be parsed.
bool
MayChange(const std::string& aText)
{
  Findings findings;
  const auto statements = operators::ParseStatements(aText, findings);
  return !findings.empty() ||
         std::any_of(statements.begin(), statements.end(), operators::IsChange);
}

CommandResult
RunStatement(const CtlSettings& aSettings, std::istream& aInput)
{
  const std::string text =
    aSettings.argument_ == "-" ? ReadAll(aInput) : aSettings.argument_;
  if (!MayChange(text)) {
    return SendStatements(aSettings, { text, {}, kQueryTimeoutText });
  }
  const std::string changeId = aSettings.changeId_.empty()
                                 ? operators::MakeChangeId()
                                 : aSettings.changeId_;
  return SendStatements(
    aSettings,
    { text,
      changeId,
      "unknown: the change may have been applied; resend it with --change-id " +
        changeId });
}

//! Reads the tables of the state queries; nothing if the answer is malformed.
std::optional<operators::CurrentState>
ReadState(const std::string& aAnswer)
{
  const auto answer = nlohmann::json::parse(aAnswer, nullptr, false);
  if (!answer.is_object() || !answer.contains("results") ||
      answer["results"].size() != 3) {
    return std::nullopt;
  }
  const auto& results = answer["results"];
  return operators::ReadCurrentState(operators::TableFromJson(results[0]),
                                     operators::TableFromJson(results[1]),
                                     operators::TableFromJson(results[2]));
}

std::vector<Statement>
ParseFile(const std::string& aName,
          const std::string& aText,
          Findings& aFindings)
{
  std::vector<Statement> statements =
    operators::ParseStatements(aText, aFindings);
  operators::ToChange(statements, "", "", aFindings);
  for (foundation::Finding& finding : aFindings) {
    finding.location_.insert(0, aName + ":");
  }
  return statements;
}

CommandResult
SendPlan(const CtlSettings& aSettings,
         std::span<const PlanStep> aPlan,
         std::optional<foundation::Revision> aRevision)
{
  const std::string statements = operators::ToStatements(aPlan, aRevision);
  if (aSettings.check_ || statements.empty()) {
    return { ExitCode::Done, operators::ToText(aPlan), {} };
  }
  CommandResult result =
    SendStatements(aSettings,
                   { statements,
                     operators::MakeChangeId(),
                     "unknown: the change may have been applied; run apply "
                     "again, which compares first" });
  if (!aSettings.json_) {
    result.output_.insert(0, operators::ToText(aPlan));
  }
  return result;
}

CommandResult
RunApply(const CtlSettings& aSettings, std::istream& aInput)
{
  const std::string& name = aSettings.argument_;
  const std::optional<std::string> text = ReadFile(name, aInput);
  if (!text) {
    return { ExitCode::BadInput, {}, name + ": can't be read\n" };
  }
  Findings findings;
  const std::vector<Statement> statements = ParseFile(name, *text, findings);
  if (!findings.empty()) {
    return { ExitCode::BadInput, {}, foundation::ToString(findings) };
  }
  CtlSettings querySettings = aSettings;
  querySettings.json_ = true;
  CommandResult answer =
    SendStatements(querySettings, { kStateQueries, {}, kQueryTimeoutText });
  if (answer.exitCode_ != ExitCode::Done) {
    return answer;
  }
  const auto state = ReadState(answer.output_);
  if (!state) {
    return { ExitCode::Unknown, {}, "could not read the current state\n" };
  }
  const auto plan = operators::MakePlan(statements, *state);
  return SendPlan(aSettings, plan, state->revision_);
}

std::error_code
ReadTraceFile(const std::string& aName,
              std::vector<core::trace::Trace>& aTraces,
              Findings& aFindings)
{
  std::ifstream file(aName, std::ios::binary);
  if (!file) {
    const std::error_code error = core::trace::TraceError::Unreadable;
    foundation::AddFinding(aFindings, aName, error.message());
    return error;
  }
  return core::trace::ReadTraces(file, aName, aTraces, aFindings);
}

CommandResult
RunReplay(const CtlSettings& aSettings)
{
  Findings findings;
  std::vector<core::trace::Trace> traces;
  for (const std::string& name : aSettings.files_) {
    (void)ReadTraceFile(name, traces, findings);
  }
  if (!findings.empty()) {
    return { ExitCode::BadInput, {}, foundation::ToString(findings) };
  }
  const auto report = core::trace::MakeReport(traces);
  const bool matches = report.unexpected_.empty();
  return { matches ? ExitCode::Done : ExitCode::Refused,
           report.summary_,
           foundation::ToString(report.unexpected_) };
}

//! Explains a request from the log files, or from standard input if there are
//! none.
CommandResult
RunExplain(const CtlSettings& aSettings, std::istream& aInput)
{
  std::vector<std::string> names = aSettings.files_;
  if (names.empty()) {
    names.emplace_back("-");
  }
  Findings findings;
  std::vector<LogLine> lines;
  for (const std::string& name : names) {
    const std::optional<std::string> text = ReadFile(name, aInput);
    if (!text) {
      foundation::AddFinding(findings, name, "can't be read");
      continue;
    }
    std::istringstream log(*text);
    for (std::string line; std::getline(log, line);) {
      if (auto parsed = ParseLogLine(line, name)) {
        lines.push_back(std::move(*parsed));
      }
    }
  }
  if (!findings.empty()) {
    return { ExitCode::BadInput, {}, foundation::ToString(findings) };
  }
  std::string text = ExplainRequest(aSettings.argument_, lines);
  if (text.empty()) {
    return { ExitCode::Refused,
             {},
             "no line names request " + aSettings.argument_ + "\n" };
  }
  return { ExitCode::Done, std::move(text), {} };
}

} // namespace

CommandResult
RunCommand(const CtlSettings& aSettings, std::istream& aInput)
{
  switch (aSettings.command_) {
    case Command::Help:
      return { ExitCode::Done, HelpText(), {} };
    case Command::Apply:
      return RunApply(aSettings, aInput);
    case Command::Replay:
      return RunReplay(aSettings);
    case Command::Explain:
      return RunExplain(aSettings, aInput);
    default:
      return RunStatement(aSettings, aInput);
  }
}

} // namespace wigeonlb::ctl
