#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "forward.pb.h"

namespace wigeonlb::core::classification {

//! `SET wigeonlb.<name> = ...`, `RESET wigeonlb.<name>` or
//! `SHOW wigeonlb.<name>`: answered by the entry host, never sent to a target.
struct ProxySetting
{
  enum class Verb
  {
    Set,
    Reset,
    Show,
  };
  Verb verb_ = Verb::Show;
  //! Without the prefix: `session`, `max_age`, `deadline`.
  std::string name_;
  //! As written; configuration::ParseDuration reads lengths of time.
  std::string value_;
};

//! The session's own value: kept by the entry host, and given to whatever
//! connection runs the session's statements.
struct SetSessionValue
{
  std::string name_;
  std::string value_;
};

//! The session prepares a statement.
struct Prepare
{
  std::string name_;       //!< the caller's
  std::string sharedName_; //!< depends on the definition only
  std::string definition_; //!< prepares it under the shared name
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
};

//! The session runs a prepared statement: its text is what stands before the
//! name, the shared name, and what stands behind.
struct Execute
{
  std::string name_;
  std::string prefix_;
  std::string suffix_;
};

//! The session forgets a prepared statement.
struct Deallocate
{
  std::string name_;
};

//! What a statement does to the session's state, if anything.
using SessionEffect =
  std::variant<std::monostate, SetSessionValue, Prepare, Execute, Deallocate>;

//! Why a statement can't be run.
struct Refusal
{
  std::string sqlstate_;
  std::string message_;
  //! Character in the statement, from 1; 0 when it concerns all of it.
  std::int32_t position_ = 0;
};

//! What is known of a message's text before it is run.
struct Classification
{
  //! Of the whole message. When in doubt it is a write.
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  //! Statements in the message; 0 for an empty one.
  std::size_t statementCount_ = 0;
  //! Marked by a comment at the text's very start.
  bool repeatable_ = false;
  //! Makes sense only in a transaction (DECLARE, SET LOCAL, currval): to be
  //! refused outside of one, where it would touch a shared connection.
  bool requiresTransaction_ = false;
  std::optional<ProxySetting> proxySetting_;
  SessionEffect sessionEffect_;
  std::optional<Refusal> refusal_;
};

//! Classifies the text of one query message by PostgreSQL's grammar. A text
//! that it can't read is refused with 42601 and the place.
Classification
Classify(std::string_view aText);

//! Whether the text starts with the comment that marks it repeatable.
bool
HasRepeatableHint(std::string_view aText);

} // namespace wigeonlb::core::classification
