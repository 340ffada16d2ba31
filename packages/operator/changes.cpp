#include <algorithm>

#include "operator/statements.h"

namespace wigeonlb::operators {

using foundation::AddFinding;
using foundation::Findings;

namespace {

//! Appends the operations of a statement to a change.
struct OperationWriter
{
  wire::ConfigurationOperation& Add() { return *change_.add_operations(); }

  void operator()(const CreateGroupStatement& aStatement)
  {
    wire::CreateGroup& create = *Add().mutable_create_group();
    create.set_group(aStatement.group_);
    for (const Option& option : aStatement.options_) {
      (*create.mutable_options())[option.key_] = option.value_;
    }
  }

  void operator()(const DropGroupStatement& aStatement)
  {
    Add().mutable_drop_group()->set_group(aStatement.group_);
  }

  void operator()(const SetGroupStatement& aStatement)
  {
    for (const Option& option : aStatement.options_) {
      wire::SetGroupOption& set = *Add().mutable_set_group_option();
      set.set_group(aStatement.group_);
      set.set_key(option.key_);
      set.set_value(option.value_);
    }
  }

  void operator()(const SetSystemStatement& aStatement)
  {
    for (const Option& option : aStatement.options_) {
      wire::SetSystemOption& set = *Add().mutable_set_system_option();
      set.set_key(option.key_);
      set.set_value(option.value_);
    }
  }

  void operator()(const DrainStatement& aStatement)
  {
    wire::SetDraining& drain = *Add().mutable_set_draining();
    drain.set_group(aStatement.group_);
    drain.set_target(aStatement.target_);
    drain.set_draining(aStatement.draining_);
  }

  void operator()(const PromoteStatement& aStatement)
  {
    wire::RequestPromotion& promote = *Add().mutable_request_promotion();
    promote.set_group(aStatement.group_);
    promote.set_target(aStatement.target_);
  }

  //! Queries add nothing.
  template<typename Query>
  void operator()(const Query& /*aQuery*/)
  {
  }

  wire::ConfigurationChange& change_;
};

std::span<const Option>
GetOptions(const Statement& aStatement)
{
  const StatementBody& body = aStatement.body_;
  if (const auto* create = std::get_if<CreateGroupStatement>(&body)) {
    return create->options_;
  }
  if (const auto* group = std::get_if<SetGroupStatement>(&body)) {
    return group->options_;
  }
  if (const auto* system = std::get_if<SetSystemStatement>(&body)) {
    return system->options_;
  }
  return {};
}

void
CheckOptions(const Statement& aStatement, Findings& aFindings)
{
  const std::span<const Option> options = GetOptions(aStatement);
  for (auto option = options.begin(); option != options.end(); ++option) {
    const bool duplicate =
      std::any_of(options.begin(), option, [&](const Option& aEarlier) {
        return aEarlier.key_ == option->key_;
      });
    if (duplicate) {
      AddFinding(aFindings,
                 GetLocation(aStatement),
                 "option " + option->key_ + " is given twice");
    }
  }
}

void
SetExpectedRevision(const Statement& aStatement,
                    wire::ConfigurationChange& aChange,
                    Findings& aFindings)
{
  if (!aStatement.expectedRevision_) {
    return;
  }
  const foundation::Revision revision = *aStatement.expectedRevision_;
  if (aChange.has_expected_revision() &&
      aChange.expected_revision() != revision) {
    AddFinding(aFindings,
               GetLocation(aStatement),
               "expects revision " + std::to_string(revision) +
                 ", an earlier statement of the same change expects " +
                 std::to_string(aChange.expected_revision()));
    return;
  }
  aChange.set_expected_revision(revision);
}

} // namespace

wire::ConfigurationChange
ToChange(std::span<const Statement> aStatements,
         std::string_view aChangeId,
         std::string_view aOperator,
         Findings& aFindings)
{
  wire::ConfigurationChange change;
  change.set_change_id(std::string(aChangeId));
  change.set_operator_name(std::string(aOperator));
  for (const Statement& statement : aStatements) {
    if (!IsChange(statement)) {
      AddFinding(aFindings, GetLocation(statement), "changes nothing");
      continue;
    }
    CheckOptions(statement, aFindings);
    SetExpectedRevision(statement, change, aFindings);
    std::visit(OperationWriter{ change }, statement.body_);
  }
  return change;
}

} // namespace wigeonlb::operators
