#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::traffic {

//! SQLSTATE of a request that was not run because its key was used for another
//! statement.
inline constexpr std::string_view kKeyMismatch = "WL002";

//! A caller's request with a request key. A row with the key is inserted in the
//! transaction that runs the request, so that both commit or neither. The
//! table's primary key rejects the second of two concurrent requests with the
//! same key.
struct KeyedRequest
{
  std::string table_;
  std::string key_;
  //! Hash of the statement. All transactions have the same value, since their
  //! statements are not known when they begin.
  std::string hash_;
  //! The request is a BEGIN; the transaction ends with the caller's COMMIT.
  bool begins_ = false;
  //! SQL expression for the target's clock, in seconds.
  std::string_view seconds_;
};

//! Whether a key is valid: 1 to 128 letters, digits and `._:/+=@-`.
bool
IsRequestKey(std::string_view aKey);

KeyedRequest
MakeKeyedRequest(std::string aTable,
                 std::string aKey,
                 std::string_view aStatement,
                 bool aBegins,
                 std::string_view aSecondsExpression);

//! The stages of a keyed run. Each sends one message to the target.
enum class KeyedStage
{
  //! Inserts the key's row and runs the caller's statement in a transaction
  //! that stays open.
  Statement,
  //! Stores the command tag in the row and commits.
  Commit,
  //! Rolls back; reads the key's row if the key was used already.
  RollBack,
};

//! The row of a key that was used already.
struct KeyRow
{
  std::string hash_;
  std::string tag_;
};

//! One run of a keyed request on a connection.
struct KeyedRun
{
  KeyedRequest request_;
  KeyedStage stage_ = KeyedStage::Statement;
  //! Number of completed results in the stage's message.
  std::size_t complete_ = 0;
  //! Command tag of the caller's statement; of the last one if there are
  //! several.
  std::string tag_;
  bool conflict_ = false; //!< the key was used already
  std::optional<KeyRow> row_;
};

//! The answer to a request whose key was used already. It replaces the answer
//! to the caller's statement.
struct KeyedEnd
{
  //! Frames of the callers' protocol.
  std::string frames_;
  //! Empty if the request had already run.
  target::SqlError error_;
  bool alreadyDone_ = false;
};

//! The first message of a run.
std::string
MakeFirstMessage(const KeyedRequest& aRequest, const std::string& aStatement);

//! Whether the result with this index belongs to a statement that this host
//! added, rather than to the caller's statement.
bool
IsOwnResult(const KeyedRun& aRun, std::size_t aIndex);

//! Records that a result is complete; keeps the tag if the result is the
//! caller's.
void
RecordCompletion(KeyedRun& aRun, std::size_t aIndex, std::string_view aTag);

//! Records the key's row from a result that is not the caller's.
void
RecordKeyRow(KeyedRun& aRun, std::span<const target::Field> aRow);

//! Records an error. Returns true if the error means that the key was used
//! already.
bool
RecordError(KeyedRun& aRun, std::string_view aSqlstate);

//! Advances the run after the last result of a stage, given the SQLSTATE of its
//! error and the transaction status. Returns the next message for the target,
//! or an empty string at the end of the run.
std::string
AdvanceKeyedRun(KeyedRun& aRun, std::string_view aSqlstate, char aStatus);

//! Returns the answer to a request whose key was used already; empty otherwise.
std::optional<KeyedEnd>
MakeKeyedEnd(const KeyedRun& aRun);

//! Returns a statement that deletes a bounded number of keys older than aAge,
//! the oldest first. aSecondsExpression is the SQL expression for the target's
//! clock.
std::string
MakeExpiryStatement(std::string_view aTable,
                    foundation::Duration aAge,
                    std::string_view aSecondsExpression);

} // namespace wigeonlb::daemon::traffic
