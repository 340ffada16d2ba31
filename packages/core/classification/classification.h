#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "forward.pb.h"

namespace wigeonlb::core::classification {

//! A statement about a setting of wigeonlb itself: `SET wigeonlb.<name> = ...`,
//! `RESET wigeonlb.<name>` or `SHOW wigeonlb.<name>`. The entry host (the host
//! that the caller is connected to) answers it; it is never sent to a target.
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
  //! As written; configuration::ParseDuration parses durations.
  std::string value_;
};

//! Sets a value of the session. The entry host stores it, and it is applied to
//! each connection that runs a statement of the session.
struct SetSessionValue
{
  std::string name_;
  std::string value_;
};

//! Prepares a statement for the session.
struct Prepare
{
  std::string name_;       //!< chosen by the caller
  std::string sharedName_; //!< derived from the definition only
  std::string definition_; //!< text that prepares it under the shared name
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
};

//! Runs a prepared statement of the session. The text sent to the target is
//! prefix_, the shared name and suffix_.
struct Execute
{
  std::string name_;
  std::string prefix_;
  std::string suffix_;
};

//! Removes a prepared statement from the session.
struct Deallocate
{
  std::string name_;
};

//! Effect of a statement on the session's state, if any.
using SessionEffect =
  std::variant<std::monostate, SetSessionValue, Prepare, Execute, Deallocate>;

//! Error with which a statement is refused.
struct Refusal
{
  std::string sqlstate_;
  std::string message_;
  //! Character index within the statement, counted from 1; 0 if the error
  //! concerns the whole statement.
  std::int32_t position_ = 0;
};

//! Properties of a query message, determined from its text before it is run.
struct Classification
{
  //! Class of the whole message. A message that isn't known to be a read is
  //! classified as a write.
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  //! Number of statements in the message; 0 for an empty one.
  std::size_t statementCount_ = 0;
  //! Whether the text starts with the comment that marks it repeatable.
  bool repeatable_ = false;
  //! The statement is only valid within a transaction (DECLARE, SET LOCAL,
  //! currval). It is refused outside of one, where it would affect or depend on
  //! a connection shared with other sessions.
  bool requiresTransaction_ = false;
  std::optional<ProxySetting> proxySetting_;
  SessionEffect sessionEffect_;
  std::optional<Refusal> refusal_;
};

//! Classifies the text of one query message by PostgreSQL's grammar. A text
//! that can't be parsed is refused with SQLSTATE 42601 and the error position.
Classification
Classify(std::string_view aText);

//! Whether the text starts with the comment `wigeonlb: repeatable`, which marks
//! the message as safe to run more than once.
bool
HasRepeatableHint(std::string_view aText);

} // namespace wigeonlb::core::classification
