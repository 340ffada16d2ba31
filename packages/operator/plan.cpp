#include "operator/plan.h"

#include <algorithm>

#include "foundation/parsenumber.h"

namespace wigeonlb::operators {

namespace {

//! Reads the value of a row by column name; empty if there is no such column.
struct RowReader
{
  std::string Get(std::string_view aColumn) const
  {
    const auto& columns = table_.columns_;
    const auto column = std::find(columns.begin(), columns.end(), aColumn);
    const auto index = static_cast<std::size_t>(column - columns.begin());
    return index < row_.size() ? row_[index] : std::string();
  }

  const Table& table_;
  const std::vector<std::string>& row_;
};

void
ReadGroupRow(const RowReader& aRow, CurrentState& aState)
{
  const std::string group = aRow.Get("name");
  aState.groups_.insert(group);
  aState.primaries_[group] = aRow.Get("primary");
  // Columns that have the name of an option contain its value.
  for (const std::string& column : aRow.table_.columns_) {
    aState.options_[{ group, column }] = aRow.Get(column);
  }
}

void
ReadConfigRow(const RowReader& aRow, CurrentState& aState)
{
  const std::string name = aRow.Get("name");
  const std::string key = name.empty() ? aRow.Get("key") : name;
  const std::string value = aRow.Get("value");
  aState.options_[{ aRow.Get("group"), key }] = value;
  if (key == "revision") {
    foundation::Revision revision = 0;
    if (foundation::ParseNumber(value, revision)) {
      aState.revision_ = revision;
    }
  }
}

Statement
WithBody(const Statement& aStatement, StatementBody aBody)
{
  Statement statement = aStatement;
  statement.body_ = std::move(aBody);
  return statement;
}

//! Plans statements in order and applies each to its copy of the state, so that
//! later statements are compared with the resulting state.
struct Planner
{
  void Add(StatementBody aBody, bool aNeeded, std::string aNote = {})
  {
    plan_.push_back(
      { WithBody(*statement_, std::move(aBody)), aNeeded, std::move(aNote) });
  }

  void AddOption(const std::string& aGroup, const Option& aOption)
  {
    const auto found = state_.options_.find({ aGroup, aOption.key_ });
    const bool known = found != state_.options_.end();
    const bool needed = !known || found->second != aOption.value_;
    const std::string note = known && needed ? "now " + found->second : "";
    state_.options_[{ aGroup, aOption.key_ }] = aOption.value_;
    if (aGroup.empty()) {
      Add(SetSystemStatement{ { aOption } }, needed, note);
    } else {
      Add(SetGroupStatement{ aGroup, { aOption } }, needed, note);
    }
  }

  void operator()(const CreateGroupStatement& aCreate)
  {
    if (state_.groups_.insert(aCreate.group_).second) {
      for (const Option& option : aCreate.options_) {
        state_.options_[{ aCreate.group_, option.key_ }] = option.value_;
      }
      Add(aCreate, true);
      return;
    }
    Add(CreateGroupStatement{ aCreate.group_, {} }, false);
    for (const Option& option : aCreate.options_) {
      AddOption(aCreate.group_, option);
    }
  }

  void operator()(const DropGroupStatement& aDrop)
  {
    const bool exists = state_.groups_.erase(aDrop.group_) > 0;
    std::erase_if(state_.options_, [&](const auto& aOption) {
      return aOption.first.first == aDrop.group_;
    });
    Add(aDrop, exists);
  }

  void operator()(const SetGroupStatement& aSet)
  {
    for (const Option& option : aSet.options_) {
      AddOption(aSet.group_, option);
    }
  }

  void operator()(const SetSystemStatement& aSet)
  {
    for (const Option& option : aSet.options_) {
      AddOption({}, option);
    }
  }

  void operator()(const DrainStatement& aDrain)
  {
    const auto key = std::pair(aDrain.group_, aDrain.target_);
    const auto found = state_.draining_.find(key);
    Add(aDrain,
        found == state_.draining_.end() || found->second != aDrain.draining_);
    state_.draining_[key] = aDrain.draining_;
  }

  void operator()(const PromoteStatement& aPromote)
  {
    std::string& primary = state_.primaries_[aPromote.group_];
    const std::string note = primary.empty() ? "" : "now " + primary;
    const bool needed = primary != aPromote.target_;
    Add(aPromote, needed, needed ? note : "");
    primary = aPromote.target_;
  }

  //! Queries add no steps.
  template<typename Query>
  void operator()(const Query& /*aQuery*/)
  {
  }

  CurrentState state_;
  const Statement* statement_ = nullptr;
  std::vector<PlanStep> plan_;
};

std::string
Quote(const std::string& aText)
{
  std::string quoted = "'";
  for (const char character : aText) {
    quoted += character;
    if (character == '\'') {
      quoted += '\'';
    }
  }
  return quoted + "'";
}

std::string
QuoteOptions(std::span<const Option> aOptions)
{
  std::string text;
  for (const Option& option : aOptions) {
    text += text.empty() ? "" : ", ";
    text += Quote(option.key_) + " = " + Quote(option.value_);
  }
  return text;
}

struct StatementPrinter
{
  std::string operator()(const CreateGroupStatement& aCreate) const
  {
    const std::string options = QuoteOptions(aCreate.options_);
    return "create group " + Quote(aCreate.group_) +
           (options.empty() ? "" : " with " + options);
  }
  std::string operator()(const DropGroupStatement& aDrop) const
  {
    return "drop group " + Quote(aDrop.group_);
  }
  std::string operator()(const SetGroupStatement& aSet) const
  {
    return "set group " + Quote(aSet.group_) + " " +
           QuoteOptions(aSet.options_);
  }
  std::string operator()(const SetSystemStatement& aSet) const
  {
    return "set system " + QuoteOptions(aSet.options_);
  }
  std::string operator()(const DrainStatement& aDrain) const
  {
    return std::string(aDrain.draining_ ? "drain" : "undrain") + " target " +
           Quote(aDrain.group_) + " " + Quote(aDrain.target_);
  }
  std::string operator()(const PromoteStatement& aPromote) const
  {
    return "promote " + Quote(aPromote.group_) + " " + Quote(aPromote.target_);
  }
  template<typename Query>
  std::string operator()(const Query& /*aQuery*/) const
  {
    return {};
  }
};

} // namespace

CurrentState
ReadCurrentState(const Table& aGroups,
                 const Table& aConfig,
                 const Table& aTargets)
{
  CurrentState state;
  for (const auto& row : aGroups.rows_) {
    ReadGroupRow({ aGroups, row }, state);
  }
  for (const auto& row : aConfig.rows_) {
    ReadConfigRow({ aConfig, row }, state);
  }
  for (const auto& row : aTargets.rows_) {
    const RowReader reader{ aTargets, row };
    state.draining_[{ reader.Get("group"), reader.Get("target") }] =
      reader.Get("draining") == "yes";
  }
  return state;
}

std::vector<PlanStep>
MakePlan(std::span<const Statement> aStatements, CurrentState aState)
{
  Planner planner{ std::move(aState) };
  for (const Statement& statement : aStatements) {
    planner.statement_ = &statement;
    std::visit(planner, statement.body_);
  }
  return std::move(planner.plan_);
}

std::string
ToText(std::span<const PlanStep> aPlan)
{
  std::string text;
  for (const PlanStep& step : aPlan) {
    text += step.needed_ ? "change     " : "unchanged  ";
    text += ToText(step.statement_);
    text += step.note_.empty() ? "\n" : "  (" + step.note_ + ")\n";
  }
  return text;
}

std::string
ToStatements(std::span<const PlanStep> aPlan,
             std::optional<foundation::Revision> aRevision)
{
  std::string text;
  for (const PlanStep& step : aPlan) {
    if (step.needed_) {
      const auto revision = step.statement_.expectedRevision_
                              ? step.statement_.expectedRevision_
                              : aRevision;
      text += ToText(step.statement_);
      text += revision ? " if revision " + std::to_string(*revision) : "";
      text += ";\n";
    }
  }
  return text;
}

std::string
ToText(const Statement& aStatement)
{
  return std::visit(StatementPrinter{}, aStatement.body_);
}

} // namespace wigeonlb::operators
