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

//! What `show` can list.
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

//! `column = 'value'` of a `where`.
struct Condition
{
  std::string column_;
  std::string value_;
};

//! `key = value` of `create group` and `set`.
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

//! One statement and where it begins; lines and columns count from 1.
struct Statement
{
  StatementBody body_;
  //! `if revision N`; only on statements that change the configuration.
  std::optional<foundation::Revision> expectedRevision_;
  std::size_t line_ = 1;
  std::size_t column_ = 1;
};

//! Parses statements that are separated by `;`. Adds a finding, its place
//! `line:column`, for each statement that can't be parsed; the result holds the
//! others.
std::vector<Statement>
ParseStatements(std::string_view aText, foundation::Findings& aFindings);

//! Where the statement begins, as `line:column`.
std::string
GetPlace(const Statement& aStatement);

//! Whether the statement changes the configuration.
bool
IsChange(const Statement& aStatement);

//! Puts changing statements into one change, applied together or not at all.
//! Adds a finding for a statement that is no change, and for expected revisions
//! that differ.
wire::ConfigurationChange
ToChange(std::span<const Statement> aStatements,
         std::string_view aChangeId,
         std::string_view aOperator,
         foundation::Findings& aFindings);

//! The word that `show` uses for the kind, as in `targets`.
std::string_view
ToString(ShowKind aKind);

} // namespace wigeonlb::operators
