#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::traffic {

//! SQLSTATE of a request whose key belongs to another statement: not run.
inline constexpr std::string_view kKeyOfAnother = "WL002";

//! A caller's request with its key. The key's row is written in the target's
//! transaction that runs the request, so that one commits with the other, and
//! the row's primary key decides between two that are sent at once.
struct KeyedRequest
{
  std::string table_;
  std::string key_;
  //! What the key stands for; a transaction's statements aren't known when it
  //! begins, so all transactions share one.
  std::string hash_;
  //! A BEGIN: the caller's COMMIT ends the transaction.
  bool begins_ = false;
  //! The target's clock, as an SQL expression.
  std::string_view seconds_;
};

//! Whether a key may be used: 1 to 128 letters, digits and `._:/+=@-`.
bool
IsRequestKey(std::string_view aKey);

KeyedRequest
MakeKeyedRequest(std::string aTable,
                 std::string aKey,
                 std::string_view aStatement,
                 bool aBegins,
                 std::string_view aSeconds);

//! Where the run of a keyed request stands, one message to the target each.
enum class KeyedStage
{
  //! The key's row and the caller's statement, in an open transaction.
  Statement,
  //! The command tag goes into the row, and the transaction is committed.
  Commit,
  //! The transaction is rolled back; a known key's row is read.
  RollBack,
};

//! What the row of a key that was used before says.
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
  //! Results of the stage's message that are complete.
  std::size_t complete_ = 0;
  //! Of the caller's statement, the last one of several.
  std::string tag_;
  bool conflict_ = false;
  std::optional<KeyRow> row_;
};

//! How a run ended, if not as the caller's statement did.
struct KeyedEnd
{
  //! Frames of the callers' protocol.
  std::string frames_;
  //! Empty when the request was done before.
  target::SqlError error_;
  bool alreadyDone_ = false;
};

//! The first message of a run.
std::string
FirstMessage(const KeyedRequest& aRequest, const std::string& aStatement);

//! Whether the stage's result of that index is not the caller's.
bool
IsOwnResult(const KeyedRun& aRun, std::size_t aIndex);

//! Takes a result's end; the tag is kept if it is the caller's.
void
RecordCompletion(KeyedRun& aRun, std::size_t aIndex, std::string_view aTag);

//! Takes a row that is not the caller's.
void
RecordKeyRow(KeyedRun& aRun, std::span<const target::Field> aRow);

//! Takes an error. Returns whether it only says that the key was used before.
bool
RecordError(KeyedRun& aRun, std::string_view aSqlstate);

//! Moves the run on after a stage's last result, with the SQLSTATE of its error
//! and the transaction's status. Returns the next message; empty at the end.
std::string
AdvanceKeyedRun(KeyedRun& aRun, std::string_view aSqlstate, char aStatus);

//! What the caller of a key that was used before is answered; empty otherwise.
std::optional<KeyedEnd>
MakeKeyedEnd(const KeyedRun& aRun);

//! Removes the oldest keys beyond an age, a bounded number of them.
std::string
ExpiryStatement(std::string_view aTable,
                foundation::Duration aAge,
                std::string_view aSeconds);

} // namespace wigeonlb::daemon::traffic
