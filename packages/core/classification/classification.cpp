#include "core/classification/classification.h"

#include <algorithm>
#include <array>
#include <memory>

#include <nlohmann/json.hpp>
#include <pg_query.h>

#include "core/classification/internal/syntaxtree.h"

namespace wigeonlb::core::classification {

namespace {

using nlohmann::json;

constexpr std::string_view kSettingPrefix = "wigeonlb.";
constexpr int kCursorWithHold = 0x20;

// Statement types that would leave state on a shared connection, or that need
// an unsupported part of the protocol.
struct RefusedType
{
  std::string_view type_;
  std::string_view message_;
};
constexpr auto kRefusedTypes = std::to_array<RefusedType>({
  { "ListenStmt", "LISTEN needs a dedicated connection" },
  { "UnlistenStmt", "UNLISTEN needs a dedicated connection" },
  { "PrepareStmt", "PREPARE would leave a statement on a shared connection" },
  { "ExecuteStmt", "EXECUTE needs a dedicated connection" },
  { "DeallocateStmt", "DEALLOCATE needs a dedicated connection" },
  { "DiscardStmt", "DISCARD needs a dedicated connection" },
  { "LoadStmt", "LOAD would change a shared connection" },
  { "CopyStmt", "COPY is not supported" },
});

Classification
MakeRefusal(std::string aSqlstate,
            std::string aMessage,
            std::int32_t aPosition = 0)
{
  Classification result;
  result.refusal_ = { std::move(aSqlstate), std::move(aMessage), aPosition };
  return result;
}

Classification
MakeClassification(wire::StatementClass aClass)
{
  Classification result;
  result.class_ = aClass;
  return result;
}

Classification
MakeTransactionOnly(wire::StatementClass aClass)
{
  Classification result = MakeClassification(aClass);
  result.requiresTransaction_ = true;
  return result;
}

Classification
MakeProxySetting(ProxySetting::Verb aVerb,
                 std::string aName,
                 std::string aValue = {})
{
  Classification result = MakeClassification(wire::STATEMENT_PRIMARY_READ);
  result.proxySetting_ = { aVerb,
                           aName.substr(kSettingPrefix.size()),
                           std::move(aValue) };
  return result;
}

std::string
GetConstantText(const json& aArguments)
{
  if (!aArguments.is_array() || aArguments.size() != 1) {
    return {};
  }
  const json constant = aArguments.front().value("A_Const", json::object());
  if (constant.contains("ival")) {
    return std::to_string(constant["ival"].value("ival", 0));
  }
  if (constant.contains("fval")) {
    return constant["fval"].value("fval", std::string());
  }
  return constant.value("/sval/sval"_json_pointer, std::string());
}

Classification
ClassifySet(const json& aNode)
{
  const std::string name = aNode.value("name", std::string());
  const std::string kind = aNode.value("kind", std::string());
  const bool local = aNode.value("is_local", false);
  if (name.starts_with(kSettingPrefix)) {
    if (local) {
      return MakeRefusal("0A000", "SET LOCAL of " + name + " is not supported");
    }
    const bool set = kind == "VAR_SET_VALUE";
    return MakeProxySetting(
      set ? ProxySetting::Verb::Set : ProxySetting::Verb::Reset,
      name,
      GetConstantText(aNode.value("args", json::array())));
  }
  if (local || (kind == "VAR_SET_MULTI" && name == "TRANSACTION")) {
    return MakeTransactionOnly(wire::STATEMENT_PRIMARY_READ);
  }
  return MakeRefusal(
    "0A000",
    "SET and RESET outside SET LOCAL would change a shared connection");
}

Classification
ClassifyTransaction(const json& aNode)
{
  const std::string kind = aNode.value("kind", std::string());
  if (aNode.value("chain", false)) {
    return MakeRefusal("0A000", "AND CHAIN is not supported");
  }
  if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
    return MakeClassification(wire::STATEMENT_BEGIN);
  }
  if (kind == "TRANS_STMT_COMMIT") {
    return MakeClassification(wire::STATEMENT_COMMIT);
  }
  if (kind == "TRANS_STMT_ROLLBACK") {
    return MakeClassification(wire::STATEMENT_ROLLBACK);
  }
  if (kind == "TRANS_STMT_SAVEPOINT" || kind == "TRANS_STMT_RELEASE" ||
      kind == "TRANS_STMT_ROLLBACK_TO") {
    return MakeTransactionOnly(wire::STATEMENT_PRIMARY_READ);
  }
  return MakeRefusal("0A000", "two-phase commit is not supported");
}

bool
IsAnalyze(const json& aExplain)
{
  const json options = aExplain.value("options", json::array());
  return std::any_of(options.begin(), options.end(), [](const json& aOption) {
    return aOption.value("/DefElem/defname"_json_pointer, std::string()) ==
           "analyze";
  });
}

Classification
MakeFromFacts(const internal::TreeFacts& aFacts)
{
  Classification result;
  if (!aFacts.mayWrite_) {
    result.class_ =
      aFacts.locksRows_ ? wire::STATEMENT_PRIMARY_READ : wire::STATEMENT_READ;
  }
  result.requiresTransaction_ = aFacts.readsSessionState_;
  result.refusal_ = aFacts.refusal_;
  return result;
}

Classification
ClassifyExplain(const json& aNode)
{
  Classification result =
    MakeFromFacts(internal::Inspect(aNode.value("query", json::object())));
  if (!IsAnalyze(aNode) && result.class_ == wire::STATEMENT_WRITE) {
    result.class_ = wire::STATEMENT_PRIMARY_READ;
  }
  return result;
}

Classification
ClassifyCursor(const json& aNode)
{
  if ((aNode.value("options", 0) & kCursorWithHold) != 0) {
    return MakeRefusal("0A000", "a cursor WITH HOLD outlives its transaction");
  }
  Classification result =
    MakeFromFacts(internal::Inspect(aNode.value("query", json::object())));
  if (result.class_ == wire::STATEMENT_READ) {
    result.class_ = wire::STATEMENT_PRIMARY_READ;
  }
  result.requiresTransaction_ = true;
  return result;
}

Classification
ClassifyStatement(const std::string& aType, const json& aNode)
{
  const auto* refused =
    std::find_if(kRefusedTypes.begin(),
                 kRefusedTypes.end(),
                 [&](const RefusedType& aRow) { return aRow.type_ == aType; });
  if (refused != kRefusedTypes.end()) {
    return MakeRefusal("0A000", std::string(refused->message_));
  }
  if (aType == "VariableSetStmt") {
    return ClassifySet(aNode);
  }
  if (aType == "VariableShowStmt") {
    const std::string name = aNode.value("name", std::string());
    return name.starts_with(kSettingPrefix)
             ? MakeProxySetting(ProxySetting::Verb::Show, name)
             : MakeClassification(wire::STATEMENT_PRIMARY_READ);
  }
  if (aType == "TransactionStmt") {
    return ClassifyTransaction(aNode);
  }
  if (aType == "ExplainStmt") {
    return ClassifyExplain(aNode);
  }
  if (aType == "DeclareCursorStmt") {
    return ClassifyCursor(aNode);
  }
  if (aType == "FetchStmt" || aType == "ClosePortalStmt" ||
      aType == "ConstraintsSetStmt") {
    return MakeTransactionOnly(wire::STATEMENT_PRIMARY_READ);
  }
  return MakeFromFacts(internal::Inspect({ { aType, aNode } }));
}

bool
ControlsTransaction(wire::StatementClass aClass)
{
  return aClass == wire::STATEMENT_BEGIN || aClass == wire::STATEMENT_COMMIT ||
         aClass == wire::STATEMENT_ROLLBACK;
}

// Returns the stricter of two classes.
wire::StatementClass
GetStricterClass(wire::StatementClass aLeft, wire::StatementClass aRight)
{
  if (aLeft == wire::STATEMENT_READ) {
    return aRight;
  }
  return aRight == wire::STATEMENT_WRITE ? aRight : aLeft;
}

Classification
CombineStatements(const std::vector<Classification>& aParts)
{
  Classification result;
  result.class_ = wire::STATEMENT_READ;
  for (const auto& part : aParts) {
    if (part.refusal_) {
      return part;
    }
    if (ControlsTransaction(part.class_) || part.proxySetting_) {
      return MakeRefusal(
        "0A000",
        "transaction control and wigeonlb settings must be the "
        "only statement of their message");
    }
    result.class_ = GetStricterClass(result.class_, part.class_);
    result.requiresTransaction_ |= part.requiresTransaction_;
  }
  return result;
}

Classification
ClassifyTree(std::string_view aTree)
{
  const json tree = json::parse(aTree);
  const json statements = tree.value("stmts", json::array());
  std::vector<Classification> parts;
  for (const auto& statement : statements) {
    const json node = statement.value("stmt", json::object());
    parts.push_back(
      ClassifyStatement(node.begin().key(), node.begin().value()));
  }
  if (parts.empty()) {
    return MakeClassification(wire::STATEMENT_READ);
  }
  Classification result =
    parts.size() == 1 ? parts.front() : CombineStatements(parts);
  result.statementCount_ = parts.size();
  return result;
}

} // namespace

bool
HasRepeatableHint(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t\r\n";
  constexpr std::string_view kHint = "wigeonlb: repeatable";
  aText.remove_prefix(std::min(aText.find_first_not_of(kBlank), aText.size()));
  if (!aText.starts_with("/*")) {
    return false;
  }
  const auto end = aText.find("*/");
  if (end == std::string_view::npos) {
    return false;
  }
  const auto comment = aText.substr(2, end - 2);
  const auto first = comment.find_first_not_of(kBlank);
  const auto last = comment.find_last_not_of(kBlank);
  return first != std::string_view::npos &&
         comment.substr(first, last - first + 1) == kHint;
}

Classification
Classify(std::string_view aText)
{
  if (aText.find('\0') != std::string_view::npos) {
    return MakeRefusal("42601", "the statement contains a zero byte");
  }
  const std::string text(aText);
  const std::unique_ptr<PgQueryParseResult, void (*)(PgQueryParseResult*)>
    parsed(new PgQueryParseResult(pg_query_parse(text.c_str())),
           [](PgQueryParseResult* aResult) {
             pg_query_free_parse_result(*aResult);
             delete aResult;
           });
  if (parsed->error != nullptr) {
    return MakeRefusal(
      "42601", parsed->error->message, parsed->error->cursorpos);
  }
  Classification result = ClassifyTree(parsed->parse_tree);
  result.repeatable_ = HasRepeatableHint(aText);
  return result;
}

} // namespace wigeonlb::core::classification
