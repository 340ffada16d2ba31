#include "traffic/keyedrequest.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <cstdio>

#include <xxhash.h>

#include "caller/frames.h"
#include "core/traffic/actions.h"

namespace wigeonlb::daemon::traffic {

namespace {

constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::string_view kUniqueViolation = "23505";
constexpr std::string_view kKeyRowMissing = "40001";

//! Result indexes of the BEGIN, which may be the caller's, and of the INSERT of
//! the key's row after it.
constexpr std::size_t kBeginResult = 0;
constexpr std::size_t kKeyResult = 1;

constexpr int kExpiryBatchRows = 500;

std::string
HashStatement(std::string_view aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  XXH128_canonical_t canonical;
  XXH128_canonicalFromHash(&canonical, hash);
  std::string hex;
  for (const unsigned char byte : canonical.digest) {
    std::array<char, 3> digits{};
    std::snprintf(digits.data(), digits.size(), "%02x", byte);
    hex += digits.data();
  }
  return hex;
}

std::string
Quote(std::string_view aText)
{
  std::string quoted = "'";
  for (const char character : aText) {
    quoted += character;
    if (character == '\'') {
      quoted += character;
    }
  }
  return quoted + "'";
}

std::string
MakeKeyInsert(const KeyedRequest& aRequest)
{
  // The final command tag of a transaction is known in advance.
  const std::string tag = aRequest.begins_ ? "COMMIT" : "";
  return "INSERT INTO " + aRequest.table_ +
         " (request_key, statement_hash, command_tag, created_at) VALUES (" +
         Quote(aRequest.key_) + ", " + Quote(aRequest.hash_) + ", " +
         Quote(tag) + ", " + std::string(aRequest.seconds_) + ")";
}

std::string
MakeKeyCondition(const KeyedRequest& aRequest)
{
  return " WHERE request_key = " + Quote(aRequest.key_);
}

KeyedEnd
MakeErrorEnd(std::string_view aSqlstate, std::string aMessage)
{
  KeyedEnd end;
  end.error_.sqlstate_ = aSqlstate;
  end.error_.message_ = std::move(aMessage);
  caller::AppendErrorResponse(
    end.frames_,
    { "ERROR", end.error_.sqlstate_, end.error_.message_, "", "" });
  return end;
}

} // namespace

bool
IsRequestKey(std::string_view aKey)
{
  constexpr std::string_view kPunctuation = "._:/+=@-";
  return !aKey.empty() && aKey.size() <= kMaxKeyBytes &&
         std::ranges::all_of(aKey, [&](unsigned char aCharacter) {
           return std::isalnum(aCharacter) != 0 ||
                  kPunctuation.find(static_cast<char>(aCharacter)) !=
                    std::string_view::npos;
         });
}

KeyedRequest
MakeKeyedRequest(std::string aTable,
                 std::string aKey,
                 std::string_view aStatement,
                 bool aBegins,
                 std::string_view aSecondsExpression)
{
  return { std::move(aTable),
           std::move(aKey),
           aBegins ? "transaction" : HashStatement(aStatement),
           aBegins,
           aSecondsExpression };
}

std::string
MakeFirstMessage(const KeyedRequest& aRequest, const std::string& aStatement)
{
  if (aRequest.begins_) {
    // The statement may end in a comment that extends to the end of the line.
    return aStatement + "\n; " + MakeKeyInsert(aRequest);
  }
  return "BEGIN; " + MakeKeyInsert(aRequest) + "; " + aStatement;
}

bool
IsOwnResult(const KeyedRun& aRun, std::size_t aIndex)
{
  if (aRun.stage_ != KeyedStage::Statement) {
    return true;
  }
  return aIndex == kKeyResult ||
         (aIndex == kBeginResult && !aRun.request_.begins_);
}

void
RecordCompletion(KeyedRun& aRun, std::size_t aIndex, std::string_view aTag)
{
  aRun.complete_ = aIndex + 1;
  if (!IsOwnResult(aRun, aIndex)) {
    aRun.tag_ = aTag;
  }
}

void
RecordKeyRow(KeyedRun& aRun, std::span<const target::Field> aRow)
{
  if (aRow.size() == 2) {
    aRun.row_ = { std::string(aRow[0].value_or("")),
                  std::string(aRow[1].value_or("")) };
  }
}

bool
RecordError(KeyedRun& aRun, std::string_view aSqlstate)
{
  aRun.conflict_ |= aRun.stage_ == KeyedStage::Statement &&
                    aRun.complete_ == kKeyResult &&
                    aSqlstate == kUniqueViolation;
  return aRun.conflict_;
}

std::string
AdvanceKeyedRun(KeyedRun& aRun, std::string_view aSqlstate, char aStatus)
{
  const KeyedRequest& request = aRun.request_;
  const KeyedStage stage = aRun.stage_;
  aRun.complete_ = 0;
  if (stage == KeyedStage::RollBack) {
    return {};
  }
  if (aRun.conflict_) {
    aRun.stage_ = KeyedStage::RollBack;
    return "ROLLBACK; SELECT statement_hash, command_tag FROM " +
           request.table_ + MakeKeyCondition(request);
  }
  if (!aSqlstate.empty()) {
    aRun.stage_ = KeyedStage::RollBack;
    return aStatus == 'I' ? "" : "ROLLBACK";
  }
  if (stage == KeyedStage::Commit || request.begins_) {
    return {};
  }
  aRun.stage_ = KeyedStage::Commit;
  return "UPDATE " + request.table_ + " SET command_tag = " + Quote(aRun.tag_) +
         MakeKeyCondition(request) + "; COMMIT";
}

std::optional<KeyedEnd>
MakeKeyedEnd(const KeyedRun& aRun)
{
  if (!aRun.conflict_) {
    return std::nullopt;
  }
  const std::string name = "request key '" + aRun.request_.key_ + "'";
  if (!aRun.row_) {
    return MakeErrorEnd(kKeyRowMissing,
                        name + " was removed concurrently; not run");
  }
  if (aRun.row_->hash_ != aRun.request_.hash_) {
    return MakeErrorEnd(kKeyMismatch,
                        name + " belongs to another statement; not run");
  }
  const std::string message = name + " was done before; not run again";
  KeyedEnd end;
  if (aRun.request_.begins_) {
    end = MakeErrorEnd(core::traffic::kAlreadyDone, message);
    end.error_ = {};
  } else {
    caller::AppendNoticeResponse(
      end.frames_,
      { "NOTICE", std::string(core::traffic::kAlreadyDone), message, "", "" });
    caller::AppendCommandComplete(end.frames_, aRun.row_->tag_);
  }
  end.alreadyDone_ = true;
  return end;
}

std::string
MakeExpiryStatement(std::string_view aTable,
                    foundation::Duration aAge,
                    std::string_view aSecondsExpression)
{
  const auto age = std::chrono::duration_cast<std::chrono::seconds>(aAge);
  const std::string table(aTable);
  return "DELETE FROM " + table +
         " WHERE request_key IN (SELECT request_key FROM " + table +
         " WHERE created_at < " + std::string(aSecondsExpression) + " - " +
         std::to_string(age.count()) + " ORDER BY created_at LIMIT " +
         std::to_string(kExpiryBatchRows) + ")";
}

} // namespace wigeonlb::daemon::traffic
