#pragma once

#include <google/protobuf/message.h>

namespace wigeonlb::wire {

//! Whether every field of type `string`, at any depth, holds UTF-8.
//! NOTE Protobuf serializes other text, but refuses to parse the result.
bool
HasValidText(const google::protobuf::Message& aMessage);

} // namespace wigeonlb::wire
