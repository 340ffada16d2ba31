#include "operator/internal/statementrequest.h"

#include <algorithm>
#include <mutex>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <nlohmann/json.hpp>

#include "operator/changeid.h"
#include "operator/tableview.h"

namespace wigeonlb::operators {

using foundation::AddFinding;
using foundation::Findings;
using nlohmann::json;

namespace {

constexpr const char* kUnnamedOperator = "unnamed";

//! Sends the response to a request as text or JSON.
struct ResponseWriter
{
  void Answer(int aStatus, const std::string& aText, const json& aJson) const
  {
    http::HttpResponse response;
    response.status_ = aStatus;
    if (json_) {
      response.contentType_ = "application/json";
      response.body_ =
        aJson.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
    } else {
      response.body_ = aText;
    }
    respond_(std::move(response));
  }

  void AnswerFindings(const Findings& aFindings) const
  {
    json errors = json::array();
    for (const foundation::Finding& finding : aFindings) {
      errors.push_back(
        { { "place", finding.location_ }, { "message", finding.message_ } });
    }
    Answer(400, foundation::ToString(aFindings), { { "errors", errors } });
  }

  http::ResponseCallback respond_;
  bool json_ = false;
};

//! The queries of one request. The response is sent when the last result has
//! arrived.
struct QueryBatch
  : boost::intrusive_ref_counter<QueryBatch, boost::thread_safe_counter>
{
  ResponseWriter responder_;
  std::vector<Statement> statements_;
  std::mutex mutex_; //!< protects the members below
  std::vector<QueryAnswer> answers_;
  std::size_t pendingCount_ = 0;
};

using QueryBatchPtr = boost::intrusive_ptr<QueryBatch>;

void
AnswerQueries(QueryBatch& aBatch)
{
  Findings findings;
  std::string text;
  json results = json::array();
  for (std::size_t index = 0; index < aBatch.answers_.size(); ++index) {
    QueryAnswer& answer = aBatch.answers_[index];
    const Statement& statement = aBatch.statements_[index];
    const auto* show = std::get_if<ShowStatement>(&statement.body_);
    if (answer.error_.empty() && show != nullptr) {
      answer.error_ = ApplyConditions(answer.table_, show->conditions_);
    }
    if (!answer.error_.empty()) {
      AddFinding(findings, GetLocation(statement), answer.error_);
      continue;
    }
    text += (text.empty() ? "" : "\n") + ToText(answer.table_);
    results.push_back(ToJson(answer.table_));
  }
  if (!findings.empty()) {
    aBatch.responder_.AnswerFindings(findings);
    return;
  }
  aBatch.responder_.Answer(200, text, { { "results", std::move(results) } });
}

void
AddAnswer(QueryBatch& aBatch, std::size_t aIndex, QueryAnswer&& aAnswer)
{
  {
    const std::lock_guard lock(aBatch.mutex_);
    aBatch.answers_[aIndex] = std::move(aAnswer);
    if (--aBatch.pendingCount_ > 0) {
      return;
    }
  }
  AnswerQueries(aBatch);
}

//! Runs one query and passes the result to done_.
struct QueryRunner
{
  void operator()(const ShowStatement& aShow) const
  {
    if (aShow.kind_ == ShowKind::Metrics) {
      done_({ MakeMetricsTable(metrics_.Snapshot()), {} });
      return;
    }
    callbacks_.show_(aShow.kind_, done_);
  }
  void operator()(const ShowWhyStatement& aWhy) const
  {
    callbacks_.why_(aWhy.group_, done_);
  }
  void operator()(const ShowHelpStatement&) const
  {
    done_({ MakeHelpTable(), {} });
  }
  void operator()(const ExplainReadStatement& aExplain) const
  {
    callbacks_.explain_(aExplain, done_);
  }
  template<typename Change>
  void operator()(const Change&) const
  {
    done_({ {}, "is not a query" });
  }

  const OperatorCallbacks& callbacks_;
  const foundation::MetricsRegistry& metrics_;
  OperatorCallbacks::QueryDone done_;
};

void
RunQueries(const OperatorCallbacks& aCallbacks,
           const foundation::MetricsRegistry& aMetrics,
           std::vector<Statement>&& aStatements,
           const ResponseWriter& aResponder)
{
  const QueryBatchPtr batch(new QueryBatch);
  batch->responder_ = aResponder;
  batch->statements_ = std::move(aStatements);
  batch->answers_.resize(batch->statements_.size());
  batch->pendingCount_ = batch->statements_.size();
  for (std::size_t index = 0; index < batch->statements_.size(); ++index) {
    const QueryRunner runner{ aCallbacks,
                              aMetrics,
                              [batch, index](QueryAnswer aAnswer) {
                                AddAnswer(*batch, index, std::move(aAnswer));
                              } };
    std::visit(runner, batch->statements_[index].body_);
  }
}

const char*
GetStateName(ChangeState aState)
{
  switch (aState) {
    case ChangeState::Decided:
      return "decided";
    case ChangeState::NotDecided:
      return "not_decided";
    default:
      return "unknown";
  }
}

//! Removes trailing spaces and line breaks, since a message may consist of
//! several findings, each with a line break.
std::string
Trim(std::string aMessage)
{
  aMessage.erase(aMessage.find_last_not_of(" \n") + 1);
  return aMessage;
}

std::string
DescribeChange(const ChangeAnswer& aAnswer, const std::string& aChangeId)
{
  const std::string id = " (change id " + aChangeId + ")\n";
  const std::string revision = std::to_string(aAnswer.result_.revision());
  if (aAnswer.state_ == ChangeState::NotDecided) {
    return "not decided, and will not be: " + aAnswer.message_ + id;
  }
  if (aAnswer.state_ == ChangeState::Unknown) {
    return "unknown, resend with the same change id: " + aAnswer.message_ + id;
  }
  if (aAnswer.result_.accepted()) {
    return "accepted as revision " + revision + id;
  }
  return "refused at revision " + revision + ": " +
         Trim(aAnswer.result_.message()) + id;
}

void
AnswerChange(const ResponseWriter& aResponder,
             const std::string& aChangeId,
             const ChangeAnswer& aAnswer)
{
  const bool decided = aAnswer.state_ == ChangeState::Decided;
  const bool accepted = decided && aAnswer.result_.accepted();
  const json change{
    { "change_id", aChangeId },
    { "state", GetStateName(aAnswer.state_) },
    { "accepted", accepted },
    { "revision", aAnswer.result_.revision() },
    { "message", Trim(decided ? aAnswer.result_.message() : aAnswer.message_) },
  };
  const int status = !decided ? 503 : accepted ? 200 : 409;
  ResponseWriter responder = aResponder;
  if (!decided) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(
      std::max(aAnswer.retryAfter_, foundation::Duration(1)));
    responder.respond_ = [respond = aResponder.respond_,
                          seconds](http::HttpResponse aResponse) {
      aResponse.headers_["Retry-After"] = std::to_string(seconds.count());
      respond(std::move(aResponse));
    };
  }
  responder.Answer(
    status, DescribeChange(aAnswer, aChangeId), { { "change", change } });
}

void
RunChange(const OperatorCallbacks& aCallbacks,
          std::span<const Statement> aStatements,
          const http::HttpRequest& aRequest,
          const ResponseWriter& aResponder)
{
  std::string changeId = http::FindParameter(aRequest, "change_id");
  if (changeId.empty()) {
    changeId = MakeChangeId();
  }
  std::string name = http::FindParameter(aRequest, "operator");
  if (name.empty()) {
    name = kUnnamedOperator;
  }
  Findings findings;
  wire::ConfigurationChange change =
    ToChange(aStatements, changeId, name, findings);
  if (!findings.empty()) {
    aResponder.AnswerFindings(findings);
    return;
  }
  aCallbacks.submitChange_(std::move(change),
                           [aResponder, changeId](const ChangeAnswer& aAnswer) {
                             AnswerChange(aResponder, changeId, aAnswer);
                           });
}

} // namespace

void
HandleStatements(const OperatorCallbacks& aCallbacks,
                 const foundation::MetricsRegistry& aMetrics,
                 const http::HttpRequest& aRequest,
                 const http::ResponseCallback& aRespond)
{
  const ResponseWriter responder{
    aRespond, http::FindParameter(aRequest, "format") == "json"
  };
  Findings findings;
  std::vector<Statement> statements = ParseStatements(aRequest.body_, findings);
  if (statements.empty() && findings.empty()) {
    AddFinding(findings, "1:1", "expected a statement; try show help");
  }
  const auto changes =
    std::count_if(statements.begin(), statements.end(), IsChange);
  const bool isChange = changes > 0;
  if (isChange && changes != std::ssize(statements)) {
    AddFinding(findings, "1:1", "queries and changes must be sent separately");
  }
  if (!findings.empty()) {
    responder.AnswerFindings(findings);
  } else if (isChange) {
    RunChange(aCallbacks, statements, aRequest, responder);
  } else {
    RunQueries(aCallbacks, aMetrics, std::move(statements), responder);
  }
}

} // namespace wigeonlb::operators
