#include <catch2/catch.hpp>

#include "core/configuration/applyrecord.h"
#include "core/configuration/configurationview.h"
#include "core/configuration/delta.h"

namespace wigeonlb::core::configuration {

namespace {

//! Statement timeout in microseconds by database name.
using Databases = std::map<std::string, std::uint64_t>;

wire::ControlRecord
Adopt(std::uint64_t aNumber,
      const Databases& aDatabases,
      const std::string& aId = "")
{
  wire::ControlRecord record;
  auto& change = *record.mutable_change();
  change.set_change_id(aId.empty() ? std::to_string(aNumber) : aId);
  auto& adopt = *change.add_operations()->mutable_adopt();
  adopt.set_number(aNumber);
  adopt.set_document("document " + change.change_id());
  auto& group = *adopt.add_groups();
  group.set_group("g");
  (*group.mutable_options())["acknowledge"] = "primary";
  for (const auto& [name, timeout] : aDatabases) {
    auto& database = *adopt.add_databases();
    database.set_database(name);
    database.set_group("g");
    database.set_statement_timeout_us(timeout);
  }
  return record;
}

ApplyResult
Apply(wire::ControlState& aState, const wire::ControlRecord& aRecord)
{
  return ApplyRecord(aState, aRecord, aState.applied_index() + 1);
}

Databases
GetDatabases(const wire::ControlState& aState)
{
  Databases databases;
  for (const auto& [name, database] : aState.databases()) {
    databases[name] = database.statement_timeout_us();
  }
  return databases;
}

} // namespace

// Guards against a first configuration that is acknowledged and dropped.
TEST_CASE("the first configuration is in force, whatever its number",
          "[configuration][numbered]")
{
  const std::uint64_t number = GENERATE(0U, 1U, 7U);
  wire::ControlState state;
  CHECK(Apply(state, Adopt(number, { { "d", 1 } })).change_->accepted());
  CHECK(GetDatabases(state) == Databases{ { "d", 1 } });
  CHECK(
    Apply(state, Adopt(number, { { "e", 2 } }, "other")).change_->accepted());
  CHECK(GetDatabases(state) == Databases{ { "d", 1 } });
  CHECK(Apply(state, Adopt(number + 1, { { "e", 2 } })).change_->accepted());
  CHECK(GetDatabases(state) == Databases{ { "e", 2 } });
}

TEST_CASE("the configuration with the highest number is in force",
          "[configuration][numbered]")
{
  struct Row
  {
    std::uint64_t number_;
    std::string id_;
    std::uint64_t inForce_;
    Databases databases_;
  };
  // Each row is applied after number 7, which has one database.
  const auto row = GENERATE(values<Row>({
    { 9, "9", 9, { { "d", 5 }, { "e", 6 } } },
    { 7, "7 again", 7, { { "d", 1 } } },
    { 6, "6", 7, { { "d", 1 } } },
  }));
  wire::ControlState state;
  CHECK(Apply(state, Adopt(7, { { "d", 1 } })).change_->accepted());
  const auto result =
    Apply(state, Adopt(row.number_, { { "d", 5 }, { "e", 6 } }, row.id_));
  CHECK(result.change_->accepted());
  CHECK(result.changed_ == (row.inForce_ != 7));
  CHECK(state.document_number() == row.inForce_);
  CHECK(GetDatabases(state) == row.databases_);
}

TEST_CASE("an invalid configuration is refused completely",
          "[configuration][numbered]")
{
  struct Row
  {
    std::function<void(wire::NumberedConfiguration&)> invalidate_;
    std::string finding_;
  };
  const auto row = GENERATE(values<Row>({
    { [](auto& aAdopt) { aAdopt.mutable_databases(0)->set_group("other"); },
      "unknown group" },
    { [](auto& aAdopt) { aAdopt.mutable_databases(1)->set_database("d"); },
      "named twice" },
    { [](auto& aAdopt) {
       (*aAdopt.mutable_groups(0)->mutable_options())["size"] = "many";
     },
      "size" },
  }));
  auto record = Adopt(1, { { "d", 1 }, { "e", 2 } });
  row.invalidate_(
    *record.mutable_change()->mutable_operations(0)->mutable_adopt());
  wire::ControlState state;
  const auto result = Apply(state, record);
  CHECK_FALSE(result.change_->accepted());
  CHECK(result.change_->message().find(row.finding_) != std::string::npos);
  CHECK(state.databases().empty());
  CHECK(state.groups().empty());
}

TEST_CASE("a delta contains only the changed databases",
          "[configuration][numbered]")
{
  wire::ControlState state;
  Apply(state, Adopt(1, { { "d", 1 }, { "e", 1 }, { "f", 1 } }));
  ConfigurationView view;
  ApplyReply(view, DeltaSince(state, 0));
  const auto before = state.revision();
  Apply(state, Adopt(2, { { "d", 1 }, { "e", 2 } }));
  Apply(state, Adopt(3, { { "d", 1 }, { "e", 2 }, { "f", 3 } }));
  const auto delta = DeltaSince(state, before);
  CHECK_FALSE(delta.whole());
  CHECK(delta.groups_size() == 0);
  CHECK(delta.databases_size() == 2);
  ApplyReply(view, delta);
  CHECK(GetDatabases(view.state_) == GetDatabases(state));
}

TEST_CASE("a choice records its log index and the adopted term",
          "[configuration][numbered]")
{
  wire::ControlState state;
  Apply(state, Adopt(1, { { "d", 1 } }));
  wire::ControlRecord admit;
  admit.mutable_admit()->set_group("g");
  admit.mutable_admit()->mutable_target()->set_target("a");
  admit.mutable_admit()->mutable_target()->set_counted(true);
  Apply(state, admit);
  wire::ControlRecord choose;
  choose.mutable_choose()->set_group("g");
  choose.mutable_choose()->set_term(4);
  choose.mutable_choose()->set_target("a");
  Apply(state, choose);
  CHECK(state.groups().at("g").choice_index() == state.applied_index());
  // The target has started its own term.
  wire::ControlRecord confirm;
  confirm.mutable_confirm()->set_group("g");
  confirm.mutable_confirm()->set_term(4);
  confirm.mutable_confirm()->set_target("a");
  confirm.mutable_confirm()->set_adopted_term(2);
  Apply(state, confirm);
  CHECK(state.groups().at("g").term() == 2);
  CHECK(state.groups().at("g").history(0).term() == 2);
}

namespace {

//! Rate limit by organisation; the key of each is its name.
using Organisations = std::map<std::string, double>;

wire::ControlRecord
AdoptOrganisations(std::uint64_t aNumber, const Organisations& aOrganisations)
{
  wire::ControlRecord record = Adopt(aNumber, { { "d", 1 } });
  auto& adopt =
    *record.mutable_change()->mutable_operations(0)->mutable_adopt();
  adopt.set_identifies_organisations(true);
  for (const auto& [name, rate] : aOrganisations) {
    auto& organisation = *adopt.add_organisations();
    organisation.set_organisation(name);
    organisation.add_key_digests(name);
    organisation.set_rate_per_s(rate);
  }
  return record;
}

Organisations
GetOrganisations(const wire::ControlState& aState)
{
  Organisations organisations;
  for (const auto& [name, organisation] : aState.organisations()) {
    organisations[name] = organisation.rate_per_s();
  }
  return organisations;
}

} // namespace

// Guards against hosts that serve a withdrawn key, or refuse a new one.
TEST_CASE("hosts receive changed and dropped organisations by deltas",
          "[configuration][numbered]")
{
  const Organisations steps[] = {
    { { "a", 1 }, { "b", 1 } },
    { { "a", 1 } },
    { { "a", 2 }, { "b", 3 }, { "c", 1 } },
    {},
    { { "b", 1 } },
  };
  wire::ControlState state;
  ConfigurationView view;
  std::uint64_t number = 0;
  for (const Organisations& step : steps) {
    CHECK(Apply(state, AdoptOrganisations(++number, step)).change_->accepted());
    CHECK(GetOrganisations(state) == step);
    const auto reply = DeltaSince(state, view.state_.revision());
    CHECK(reply.whole() == (number == 1));
    ApplyReply(view, reply);
    CHECK(GetOrganisations(view.state_) == step);
    CHECK(view.state_.identifies_organisations());
  }
  Apply(state, Adopt(++number, { { "d", 1 } }));
  ApplyReply(view, DeltaSince(state, view.state_.revision()));
  CHECK_FALSE(view.state_.identifies_organisations());
}

TEST_CASE("a delta has only the organisations that have changed",
          "[configuration][numbered]")
{
  wire::ControlState state;
  Apply(state, AdoptOrganisations(1, { { "a", 1 }, { "b", 1 } }));
  const foundation::Revision before = state.revision();
  Apply(state, AdoptOrganisations(2, { { "a", 1 }, { "b", 2 } }));
  const auto reply = DeltaSince(state, before);
  REQUIRE(reply.organisations_size() == 1);
  CHECK(reply.organisations(0).organisation() == "b");
}

TEST_CASE("two organisations can't share a key", "[configuration][numbered]")
{
  wire::ControlRecord record =
    AdoptOrganisations(1, { { "a", 1 }, { "b", 1 } });
  record.mutable_change()
    ->mutable_operations(0)
    ->mutable_adopt()
    ->mutable_organisations(1)
    ->add_key_digests("a");
  wire::ControlState state;
  const ApplyResult result = Apply(state, record);
  CHECK_FALSE(result.change_->accepted());
  CHECK(state.organisations().empty());
}

} // namespace wigeonlb::core::configuration
