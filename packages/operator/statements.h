#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/findings.h"
#include "foundation/identifiers.h"
#include "foundation/logposition.h"

namespace wigeonlb::operators {

//! The tables that `show` can list.
enum class ShowKind
{
  Hosts,
  Groups,
  Targets,
  Sessions,
  Grants,
  Config,
  Metrics,
  Members,
};

//! `column = 'value'` in a `where` clause.
struct Condition
{
  std::string column_;
  std::string value_;
};

//! `key = value` in `create group` and `set`.
struct Option
{
  std::string key_;
  std::string value_;
};

struct ShowStatement
{
  ShowKind kind_ = ShowKind::Hosts;
  std::vector<Condition> conditions_; //!< all must hold
};

struct ShowWhyStatement
{
  foundation::GroupName group_;
};

struct ShowHelpStatement
{};

struct ExplainReadStatement
{
  foundation::GroupName group_;
  std::optional<foundation::LogPosition> floor_;
  std::optional<foundation::Duration> maxAge_;
};

struct CreateGroupStatement
{
  foundation::GroupName group_;
  std::vector<Option> options_;
};

struct DropGroupStatement
{
  foundation::GroupName group_;
};

struct SetGroupStatement
{
  foundation::GroupName group_;
  std::vector<Option> options_;
};

struct SetSystemStatement
{
  std::vector<Option> options_;
};

//! `drain target` and `undrain target`.
struct DrainStatement
{
  foundation::GroupName group_;
  foundation::TargetName target_;
  bool draining_ = true;
};

struct PromoteStatement
{
  foundation::GroupName group_;
  foundation::TargetName target_;
};

using StatementBody = std::variant<ShowStatement,
                                   ShowWhyStatement,
                                   ShowHelpStatement,
                                   ExplainReadStatement,
                                   CreateGroupStatement,
                                   DropGroupStatement,
                                   SetGroupStatement,
                                   SetSystemStatement,
                                   DrainStatement,
                                   PromoteStatement>;

//! A statement and the location where it begins. Lines and columns are counted
//! from 1.
struct Statement
{
  StatementBody body_;
  //! `if revision N`; only for statements that change the configuration.
  std::optional<foundation::Revision> expectedRevision_;
  std::size_t line_ = 1;
  std::size_t column_ = 1;
};

//! Parses statements that are separated by `;`. Returns the valid statements
//! and adds a finding for each other one; the finding's location is
//! `line:column`.
std::vector<Statement>
ParseStatements(std::string_view aText, foundation::Findings& aFindings);

//! The location where the statement begins, as `line:column`.
std::string
GetLocation(const Statement& aStatement);

//! Whether the statement changes the configuration.
bool
IsChange(const Statement& aStatement);

//! Combines statements into one change, which is applied atomically. Adds a
//! finding for a statement that doesn't change the configuration, an option
//! that occurs twice in a statement, and expected revisions that differ.
wire::ConfigurationChange
ToChange(std::span<const Statement> aStatements,
         std::string_view aChangeId,
         std::string_view aOperator,
         foundation::Findings& aFindings);

//! The name of the table in `show`, such as `targets`.
std::string_view
ToString(ShowKind aKind);

} // namespace wigeonlb::operators
