#include "announcements/announcement.h"

#include <algorithm>
#include <limits>
#include <string>

#include <google/protobuf/descriptor.h>
#include <nlohmann/json.hpp>

#include "foundation/networkaddress.h"
#include "http/jsonobject.h"

namespace wigeonlb::announcements {

using foundation::AddFinding;
using foundation::Findings;
using google::protobuf::FieldDescriptor;
using nlohmann::json;

namespace {

constexpr std::size_t kMaxNameBytes = 200;
constexpr std::string_view kRequiredFields[] = {
  "group", "target",           "address",    "data_centre",
  "slots", "connection_limit", "incarnation"
};

void
ReadString(const FieldDescriptor& aField,
           const json& aValue,
           wire::Announcement& aResult,
           Findings& aFindings)
{
  const std::string pointer = "/" + aField.name();
  if (!aValue.is_string()) {
    AddFinding(aFindings, pointer, "expected a string");
    return;
  }
  const auto& text = aValue.get_ref<const std::string&>();
  if (text.size() > kMaxNameBytes) {
    AddFinding(aFindings,
               pointer,
               "longer than " + std::to_string(kMaxNameBytes) + " bytes");
    return;
  }
  aResult.GetReflection()->SetString(&aResult, &aField, text);
}

void
ReadNumber(const FieldDescriptor& aField,
           const json& aValue,
           wire::Announcement& aResult,
           Findings& aFindings)
{
  const bool is64Bit = aField.cpp_type() == FieldDescriptor::CPPTYPE_UINT64;
  const std::uint64_t limit = is64Bit
                                ? std::numeric_limits<std::uint64_t>::max()
                                : std::numeric_limits<std::uint32_t>::max();
  if (!aValue.is_number_unsigned() || aValue.get<std::uint64_t>() > limit) {
    AddFinding(aFindings,
               "/" + aField.name(),
               "expected a whole number up to " + std::to_string(limit));
    return;
  }
  const auto number = aValue.get<std::uint64_t>();
  const google::protobuf::Reflection& reflection = *aResult.GetReflection();
  if (is64Bit) {
    reflection.SetUInt64(&aResult, &aField, number);
  } else {
    reflection.SetUInt32(&aResult, &aField, static_cast<std::uint32_t>(number));
  }
}

void
ReadField(const FieldDescriptor& aField,
          const json& aValue,
          wire::Announcement& aResult,
          Findings& aFindings)
{
  if (aField.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    ReadString(aField, aValue, aResult, aFindings);
  } else if (aField.cpp_type() != FieldDescriptor::CPPTYPE_BOOL) {
    ReadNumber(aField, aValue, aResult, aFindings);
  } else if (!aValue.is_boolean()) {
    AddFinding(aFindings, "/" + aField.name(), "expected true or false");
  } else {
    aResult.GetReflection()->SetBool(&aResult, &aField, aValue.get<bool>());
  }
}

bool
HasFinding(const Findings& aFindings, std::string_view aPointer)
{
  return std::any_of(
    aFindings.begin(), aFindings.end(), [&](const auto& aFinding) {
      return aFinding.location_ == aPointer;
    });
}

void
CheckRequired(const json& aObject, Findings& aFindings)
{
  for (const std::string_view name : kRequiredFields) {
    if (!aObject.contains(name)) {
      AddFinding(aFindings, "/" + std::string(name), "missing");
    }
  }
}

//! Checks the values of fields that have no finding yet.
void
CheckValues(const wire::Announcement& aResult, Findings& aFindings)
{
  const auto check =
    [&](const std::string& aPointer, bool aValid, const char* aText) {
      if (!aValid && !HasFinding(aFindings, aPointer)) {
        AddFinding(aFindings, aPointer, aText);
      }
    };
  check("/group", !aResult.group().empty(), "must not be empty");
  check("/target", !aResult.target().empty(), "must not be empty");
  check("/data_centre", !aResult.data_centre().empty(), "must not be empty");
  check("/address",
        foundation::IsNetworkAddress(aResult.address()),
        "expected host:port");
  check("/slots", aResult.slots() > 0, "must be at least 1");
  check(
    "/connection_limit", aResult.connection_limit() > 0, "must be at least 1");
}

} // namespace

wire::Announcement
ParseAnnouncement(std::string_view aJson, Findings& aFindings)
{
  wire::Announcement result;
  const json object = http::ParseJsonObject(aJson, aFindings);
  if (!aFindings.empty()) {
    return result;
  }
  for (const auto& [name, value] : object.items()) {
    const FieldDescriptor* field =
      wire::Announcement::descriptor()->FindFieldByName(name);
    if (field == nullptr) {
      AddFinding(aFindings, "/" + name, "unknown name");
    } else {
      ReadField(*field, value, result, aFindings);
    }
  }
  CheckRequired(object, aFindings);
  CheckValues(result, aFindings);
  return result;
}

} // namespace wigeonlb::announcements
