#include "operations/operations.h"

#include <algorithm>
#include <mutex>
#include <utility>

#include "control/documentid.h"
#include "foundation/logging.h"
#include "operations/tables.h"

namespace wigeonlb::daemon::operations {

namespace {

using operators::QueryAnswer;
using operators::ShowKind;
using operators::Table;

//! Rows gathered from every traffic thread.
struct SessionCollection
{
  std::mutex mutex_;
  std::size_t outstanding_ = 0; //!< threads that have not replied yet
  std::vector<traffic::SessionRow> rows_;
};

wire::ExplainRead
ToMessage(const operators::ExplainReadStatement& aStatement)
{
  wire::ExplainRead message;
  message.set_group(aStatement.group_);
  const foundation::LogPosition floor =
    aStatement.floor_.value_or(foundation::LogPosition{});
  message.mutable_floor()->set_term(floor.term_);
  message.mutable_floor()->set_offset(floor.offset_);
  if (aStatement.maxAge_) {
    message.set_max_age_us(
      static_cast<std::uint64_t>(aStatement.maxAge_->count()));
  }
  return message;
}

operators::ExplainReadStatement
ToStatement(const wire::ExplainRead& aMessage)
{
  operators::ExplainReadStatement statement;
  statement.group_ = aMessage.group();
  statement.floor_ = { aMessage.floor().term(), aMessage.floor().offset() };
  if (aMessage.has_max_age_us()) {
    statement.maxAge_ = foundation::Duration(aMessage.max_age_us());
  }
  return statement;
}

} // namespace

Operations::Operations(control::ControlRuntime& aControl,
                       traffic::TrafficRuntime& aTraffic,
                       foundation::MetricsRegistry& aRegistry)
  : control_(aControl)
  , traffic_(aTraffic)
  , registry_(aRegistry)
  , questions_(aControl.Context(), aControl.Boot(), aControl)
{
  control_.SetOperatorMessageHandler([this](const wire::PeerMessage& aMessage) {
    if (aMessage.has_operator_question()) {
      OnQuestion(aMessage.from(), aMessage.operator_question());
    } else {
      questions_.OnAnswer(aMessage.operator_answer());
    }
  });
}

void
Operations::RegisterRoutes(http::HttpRouter& aRouter)
{
  operators::OperatorCallbacks callbacks;
  callbacks.show_ = [this](ShowKind aKind, const QueryDone& aDone) {
    Show(aKind, aDone);
  };
  callbacks.why_ = [this](const foundation::GroupName& aGroup,
                          const QueryDone& aDone) { ShowWhy(aGroup, aDone); };
  callbacks.explain_ = [this](const operators::ExplainReadStatement& aStatement,
                              const QueryDone& aDone) {
    Explain(aStatement, aDone);
  };
  callbacks.submitChange_ = [this](wire::ConfigurationChange aChange,
                                   const ChangeDone& aDone) {
    Submit(std::move(aChange), aDone);
  };
  operators::RegisterOperatorRoutes(aRouter, std::move(callbacks), registry_);
}

void
Operations::Show(ShowKind aKind, const QueryDone& aDone)
{
  switch (aKind) {
    case ShowKind::Hosts:
      ShowHosts(aDone);
      return;
    case ShowKind::Groups:
      aDone({ GroupsTable(control_), "" });
      return;
    case ShowKind::Targets:
      aDone({ TargetsTable(control_), "" });
      return;
    case ShowKind::Grants:
      aDone({ GrantsTable(control_), "" });
      return;
    case ShowKind::Config:
      ShowConfig(aDone);
      return;
    case ShowKind::Members:
      aDone({ MembersTable(control_), "" });
      return;
    case ShowKind::Sessions:
      ShowSessions(aDone);
      return;
    case ShowKind::Metrics:
      aDone({ {}, "metrics come from the registry" });
      return;
  }
}

void
Operations::ShowHosts(const QueryDone& aDone)
{
  wire::OperatorQuestion question;
  question.set_hosts(true);
  QueryLeader(std::move(question), [this, aDone](std::optional<Table> aTable) {
    aDone({ aTable ? std::move(*aTable) : HostsTable(control_), "" });
  });
}

void
Operations::ShowConfig(const QueryDone& aDone)
{
  wire::OperatorQuestion question;
  question.set_hosts_in_force(true);
  QueryLeader(std::move(question), [this, aDone](std::optional<Table> aTable) {
    aDone({ ConfigTable(control_, aTable.value_or(Table{}).rows_), "" });
  });
}

void
Operations::ShowSessions(const QueryDone& aDone)
{
  const auto collection = std::make_shared<SessionCollection>();
  collection->outstanding_ = traffic_.ShardCount();
  traffic_.WithEachShard([collection, aDone](traffic::TrafficShard& aShard) {
    const std::lock_guard lock(collection->mutex_);
    for (traffic::SessionRow& row : aShard.Sessions()) {
      collection->rows_.push_back(std::move(row));
    }
    if (--collection->outstanding_ == 0) {
      aDone({ SessionsTable(collection->rows_), "" });
    }
  });
}

void
Operations::ShowWhy(const foundation::GroupName& aGroup, const QueryDone& aDone)
{
  const auto& groups = control_.Agent().View().state_.groups();
  const auto found = groups.find(aGroup);
  if (found == groups.end()) {
    aDone({ {}, "there is no group '" + aGroup + "'" });
    return;
  }
  wire::OperatorQuestion question;
  question.set_why_group(aGroup);
  const std::string reason = found->second.reason();
  QueryLeader(
    std::move(question), [aDone, reason](std::optional<Table> aTable) {
      aDone({ aTable ? std::move(*aTable) : LastReasonTable(reason), "" });
    });
}

void
Operations::QueryLeader(wire::OperatorQuestion aQuestion,
                        OperatorQuestions::Done aDone)
{
  if (IsLeader(control_)) {
    aDone(LeaderTable(control_, aQuestion));
    return;
  }
  const foundation::HostId& leader = control_.Submitter().LeaderHint();
  const bool reachable =
    leader != control_.HostName() && !control_.IsLost(leader);
  questions_.Send(
    reachable ? leader : "", std::move(aQuestion), std::move(aDone));
}

void
Operations::ReadDocument(const DocumentDone& aDone)
{
  wire::OperatorQuestion question;
  question.set_document(true);
  QueryLeader(std::move(question), [this, aDone](std::optional<Table> aTable) {
    std::optional<ConfigurationDocument> document;
    if (aTable && !aTable->rows_.empty()) {
      const std::vector<std::string>& row = aTable->rows_.front();
      document = ConfigurationDocument{ std::stoull(row[0]), row[1] };
    }
    LogRead(document);
    aDone(document);
  });
}

void
Operations::LogRead(const std::optional<ConfigurationDocument>& aDocument)
{
  const std::string read =
    aDocument ? control::MakeDocumentId(aDocument->number_, aDocument->text_)
              : "none";
  if (std::exchange(lastReadId_, read) == read) {
    return;
  }
  foundation::LogChange(
    "operations",
    "configuration-read",
    { { "document", read },
      { "leader_hint", control_.Submitter().LeaderHint() } });
}

void
Operations::OnQuestion(const foundation::HostId& aFrom,
                       const wire::OperatorQuestion& aQuestion)
{
  const auto answer =
    [this, aFrom, request = aQuestion.request(), boot = aQuestion.boot()](
      const std::optional<Table>& aTable) {
      wire::PeerMessage message;
      if (aTable) {
        *message.mutable_operator_answer() = ToOperatorAnswer(*aTable);
      }
      message.mutable_operator_answer()->set_request(request);
      message.mutable_operator_answer()->set_boot(boot);
      control_.SendControl(aFrom, std::move(message));
    };
  if (aQuestion.has_explain_read()) {
    ExplainLocally(ToStatement(aQuestion.explain_read()), answer);
  } else if (IsLeader(control_)) {
    answer(LeaderTable(control_, aQuestion));
  } else {
    answer(std::nullopt);
  }
}

void
Operations::Explain(const operators::ExplainReadStatement& aStatement,
                    const QueryDone& aDone)
{
  const foundation::HostId owner = FindReachableOwner(aStatement.group_);
  const auto answer = [aDone,
                       group = aStatement.group_](std::optional<Table> aTable) {
    if (aTable) {
      aDone({ std::move(*aTable), "" });
    } else {
      aDone(
        { {},
          "no owner of group '" + group + "' answered; see `show groups`" });
    }
  };
  if (owner == control_.HostName()) {
    ExplainLocally(aStatement, answer);
    return;
  }
  wire::OperatorQuestion question;
  *question.mutable_explain_read() = ToMessage(aStatement);
  questions_.Send(owner, std::move(question), answer);
}

foundation::HostId
Operations::FindReachableOwner(const foundation::GroupName& aGroup) const
{
  const auto& groups = control_.Agent().View().state_.groups();
  const auto found = groups.find(aGroup);
  if (found == groups.end()) {
    return {};
  }
  const std::vector<foundation::HostId> owners =
    control_.Agent().ListOwners(found->second);
  const auto isSelf = [this](const foundation::HostId& aHost) {
    return aHost == control_.HostName();
  };
  if (std::any_of(owners.begin(), owners.end(), isSelf)) {
    return control_.HostName();
  }
  const auto reachable = std::find_if(
    owners.begin(), owners.end(), [this](const foundation::HostId& aHost) {
      return !control_.IsLost(aHost);
    });
  return reachable == owners.end() ? foundation::HostId{} : *reachable;
}

void
Operations::ExplainLocally(const operators::ExplainReadStatement& aStatement,
                           OperatorQuestions::Done aDone)
{
  traffic_.WithOwner(
    aStatement.group_,
    [aStatement, done = std::move(aDone)](traffic::OwnerGroup* aOwner) {
      if (aOwner == nullptr) {
        done(std::nullopt);
        return;
      }
      const foundation::LogPosition floor =
        aStatement.floor_.value_or(foundation::LogPosition{});
      done(ReadChoicesTable(core::traffic::ExplainRead(
        aOwner->State(), floor, aStatement.maxAge_, foundation::SteadyNow())));
    });
}

void
Operations::Submit(wire::ConfigurationChange aChange, const ChangeDone& aDone)
{
  control_.SubmitChange(
    std::move(aChange), [aDone](const control::ChangeAnswer& aAnswer) {
      operators::ChangeAnswer answer;
      switch (aAnswer.outcome_) {
        case control::ChangeOutcome::Decided:
          answer.state_ = operators::ChangeState::Decided;
          answer.result_ = aAnswer.result_;
          break;
        case control::ChangeOutcome::Undecided:
          answer.state_ = operators::ChangeState::NotDecided;
          answer.message_ = "no control leader could be reached";
          break;
        case control::ChangeOutcome::Unknown:
          answer.state_ = operators::ChangeState::Unknown;
          answer.message_ =
            "no answer from the control leader; resend with the same change id";
          break;
      }
      aDone(answer);
    });
}

} // namespace wigeonlb::daemon::operations
