#include <catch2/catch.hpp>

#include <functional>

#include "control.pb.h"
#include "forward.pb.h"
#include "wire/textfields.h"

namespace wigeonlb::wire {

namespace {

constexpr const char* kNotText = "i-\xFF\xFE";

} // namespace

// Guards against entries and messages that are written and can't be read.
TEST_CASE("a message with text that is not UTF-8 is recognised", "[textfields]")
{
  struct Row
  {
    std::string_view what_;
    std::function<void(ControlRecord&)> fill_;
  };
  const auto row = GENERATE(values<Row>({
    { "a nested field",
      [](auto& aRecord) {
        aRecord.mutable_admit()->mutable_target()->set_target(kNotText);
      } },
    { "a repeated field",
      [](auto& aRecord) { aRecord.mutable_members()->add_voters(kNotText); } },
    { "the value of a map",
      [](auto& aRecord) {
        (*aRecord.mutable_members()->mutable_addresses())["a"] = kNotText;
      } },
    { "the key of a map",
      [](auto& aRecord) {
        (*aRecord.mutable_members()->mutable_incarnations())[kNotText] = 1;
      } },
    { "a message in a list",
      [](auto& aRecord) {
        aRecord.mutable_change()
          ->add_operations()
          ->mutable_create_group()
          ->set_group(kNotText);
      } },
  }));
  INFO(row.what_);
  ControlRecord record;
  CHECK(HasValidText(record));
  record.mutable_admit()->set_group("orders");
  CHECK(HasValidText(record));
  row.fill_(record);
  CHECK_FALSE(HasValidText(record));
  ControlRecord read;
  CHECK_FALSE(read.ParseFromString(record.SerializeAsString()));
}

TEST_CASE("text of callers and targets is forwarded as it is", "[textfields]")
{
  PeerMessage message;
  ForwardRequest& request = *message.mutable_forward_request();
  SECTION("a request")
  {
    request.set_tenant(kNotText);
    request.set_database(kNotText);
    request.set_statement(kNotText);
    request.set_statement_id(kNotText);
    request.set_request_key(kNotText);
    request.add_values()->set_name(kNotText);
    request.add_values()->set_value(kNotText);
    request.mutable_prepared()->set_name(kNotText);
    request.mutable_prepared()->set_definition(kNotText);
  }
  SECTION("an error of a target")
  {
    message.mutable_forward_end()->set_message(kNotText);
    message.mutable_forward_end()->set_sqlstate(kNotText);
  }
  const std::string bytes = message.SerializeAsString();
  PeerMessage read;
  REQUIRE(read.ParseFromString(bytes));
  CHECK(read.SerializeAsString() == bytes);
}

} // namespace wigeonlb::wire
