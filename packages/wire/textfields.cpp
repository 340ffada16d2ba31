#include "wire/textfields.h"

#include <vector>

#include <google/protobuf/descriptor.h>

#include "foundation/utf8.h"

namespace wigeonlb::wire {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

bool
IsValidString(const Message& aMessage, const FieldDescriptor& aField, int aItem)
{
  const Reflection& reflection = *aMessage.GetReflection();
  std::string scratch;
  const std::string& text =
    aField.is_repeated()
      ? reflection.GetRepeatedStringReference(
          aMessage, &aField, aItem, &scratch)
      : reflection.GetStringReference(aMessage, &aField, &scratch);
  return foundation::IsValidUtf8(text);
}

bool
IsValidSubmessage(const Message& aMessage,
                  const FieldDescriptor& aField,
                  int aItem)
{
  const Reflection& reflection = *aMessage.GetReflection();
  return HasValidText(
    aField.is_repeated()
      ? reflection.GetRepeatedMessage(aMessage, &aField, aItem)
      : reflection.GetMessage(aMessage, &aField));
}

bool
IsValidField(const Message& aMessage, const FieldDescriptor& aField)
{
  const bool isText = aField.type() == FieldDescriptor::TYPE_STRING;
  if (!isText && aField.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
    return true;
  }
  const int items = aField.is_repeated()
                      ? aMessage.GetReflection()->FieldSize(aMessage, &aField)
                      : 1;
  for (int item = 0; item < items; ++item) {
    const bool valid = isText ? IsValidString(aMessage, aField, item)
                              : IsValidSubmessage(aMessage, aField, item);
    if (!valid) {
      return false;
    }
  }
  return true;
}

} // namespace

bool
HasValidText(const Message& aMessage)
{
  std::vector<const FieldDescriptor*> present;
  aMessage.GetReflection()->ListFields(aMessage, &present);
  for (const FieldDescriptor* const field : present) {
    if (!IsValidField(aMessage, *field)) {
      return false;
    }
  }
  return true;
}

} // namespace wigeonlb::wire
