#include "core/classification/internal/syntaxtree.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "core/classification/internal/functions.h"

namespace wigeonlb::core::classification::internal {

namespace {

using nlohmann::json;

// A deeper tree is classified as a write without walking all of it.
constexpr int kDepthLimit = 400;

// Node types that may occur in a read-only statement; sorted.
constexpr auto kReadNodes = std::to_array<std::string_view>({
  "A_ArrayExpr",   "A_Const",         "A_Expr",         "A_Indices",
  "A_Indirection", "A_Star",          "Alias",          "BitString",
  "BoolExpr",      "Boolean",         "BooleanTest",    "CaseExpr",
  "CaseWhen",      "CoalesceExpr",    "CollateClause",  "ColumnDef",
  "ColumnRef",     "CommonTableExpr", "Float",          "FuncCall",
  "GroupingFunc",  "GroupingSet",     "Integer",        "JoinExpr",
  "List",          "LockingClause",   "MinMaxExpr",     "NamedArgExpr",
  "NullTest",      "RangeFunction",   "RangeSubselect", "RangeTableSample",
  "RangeVar",      "ResTarget",       "RowExpr",        "SQLValueFunction",
  "SelectStmt",    "SortBy",          "String",         "SubLink",
  "TypeCast",      "TypeName",        "WindowDef",
});

struct QualifiedName
{
  std::string schema_;
  std::string name_;
};

QualifiedName
ReadName(const json& aParts)
{
  QualifiedName name;
  for (const auto& part : aParts) {
    name.schema_ = std::move(name.name_);
    name.name_ = part.value("/String/sval"_json_pointer, std::string());
  }
  return name;
}

void
Refuse(TreeFacts& aFacts, std::string aMessage, const json& aNode)
{
  if (!aFacts.refusal_) {
    aFacts.refusal_ = { "0A000",
                        std::move(aMessage),
                        aNode.value("location", -1) + 1 };
  }
}

void
InspectFunction(const json& aCall, TreeFacts& aFacts)
{
  const auto name = ReadName(aCall.value("funcname", json::array()));
  if (KeepsSessionState(name.name_)) {
    Refuse(aFacts,
           name.name_ + " would leave session state on a shared connection",
           aCall);
  }
  aFacts.readsSessionState_ |= ReadsSessionState(name.name_);
  const bool builtIn = name.schema_.empty() || name.schema_ == "pg_catalog";
  aFacts.mayWrite_ |= !builtIn || !IsReadOnlyFunction(name.name_);
}

// An operator qualified with another schema than pg_catalog may be
// user-defined, and its function may write.
void
InspectOperator(const json& aExpression, TreeFacts& aFacts)
{
  const auto name = ReadName(aExpression.value("name", json::array()));
  aFacts.mayWrite_ |= !name.schema_.empty() && name.schema_ != "pg_catalog";
}

void
InspectNode(const std::string& aType, const json& aNode, TreeFacts& aFacts)
{
  if (!std::binary_search(kReadNodes.begin(), kReadNodes.end(), aType)) {
    aFacts.mayWrite_ = true;
  }
  if (aType == "FuncCall") {
    InspectFunction(aNode, aFacts);
  } else if (aType == "A_Expr") {
    InspectOperator(aNode, aFacts);
  } else if (aType == "LockingClause") {
    aFacts.locksRows_ = true;
  }
}

void
InspectObject(const json& aObject, TreeFacts& aFacts)
{
  if (aObject.value("relpersistence", std::string()) == "t" ||
      aObject.value("schemaname", std::string()) == "pg_temp") {
    Refuse(aFacts,
           "temporary tables are not supported on pooled connections",
           aObject);
  }
}

void
Walk(const json& aValue, TreeFacts& aFacts, int aDepth)
{
  if (aDepth > kDepthLimit) {
    aFacts.mayWrite_ = true;
    return;
  }
  if (aValue.is_object()) {
    InspectObject(aValue, aFacts);
    for (const auto& [key, child] : aValue.items()) {
      // Node types start with a capital letter, field names don't.
      if (std::isupper(static_cast<unsigned char>(key.front())) != 0) {
        InspectNode(key, child, aFacts);
      }
      aFacts.mayWrite_ |= key == "intoClause";
      Walk(child, aFacts, aDepth + 1);
    }
  } else if (aValue.is_array()) {
    for (const auto& child : aValue) {
      Walk(child, aFacts, aDepth + 1);
    }
  }
}

} // namespace

TreeFacts
Inspect(const json& aTree)
{
  TreeFacts facts;
  Walk(aTree, facts, 0);
  return facts;
}

} // namespace wigeonlb::core::classification::internal
