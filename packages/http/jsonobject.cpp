#include "http/jsonobject.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace wigeonlb::http {

namespace {

using foundation::AddFinding;
using foundation::Findings;
using nlohmann::json;

//! Levels of lists and objects in a document.
constexpr int kMaxNesting = 32;

//! What the values of a document don't show after it was parsed.
struct Shape
{
  int depth_ = 0; //!< largest depth of a step; the outermost object has 0
  std::optional<std::string> repeated_;     //!< a key that one object has twice
  std::vector<std::set<std::string>> keys_; //!< of the objects being parsed
};

//! Notes one step of the parser. Returns whether its value is kept.
bool
NoteStep(Shape& aShape,
         int aDepth,
         json::parse_event_t aStep,
         const json& aValue)
{
  using Step = json::parse_event_t;
  aShape.depth_ = std::max(aShape.depth_, aDepth);
  if (aStep == Step::object_start) {
    aShape.keys_.emplace_back();
  } else if (aStep == Step::object_end && !aShape.keys_.empty()) {
    aShape.keys_.pop_back();
  } else if (aStep == Step::key && !aShape.keys_.empty()) {
    const auto& key = aValue.get_ref<const std::string&>();
    if (!aShape.keys_.back().insert(key).second) {
      aShape.repeated_ = key;
    }
  }
  return aDepth <= kMaxNesting;
}

} // namespace

json
ParseJsonObject(std::string_view aText, Findings& aFindings)
{
  Shape shape;
  json document = json::parse(
    aText,
    [&](int aDepth, json::parse_event_t aStep, const json& aValue) {
      return NoteStep(shape, aDepth, aStep, aValue);
    },
    false);
  if (shape.depth_ > kMaxNesting) {
    AddFinding(aFindings, "/", "nested too deeply");
  } else if (document.is_discarded()) {
    AddFinding(aFindings, "/", "not JSON");
  } else if (!document.is_object()) {
    AddFinding(aFindings, "/", "expected an object");
  } else if (shape.repeated_) {
    AddFinding(
      aFindings, "/", "an object has the key '" + *shape.repeated_ + "' twice");
  } else {
    return document;
  }
  return json::object();
}

} // namespace wigeonlb::http
