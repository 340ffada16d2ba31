#include "core/configuration/internal/numberedentries.h"

#include <algorithm>
#include <set>
#include <string>

#include "core/configuration/applyrecord.h"
#include "core/configuration/internal/removeif.h"

namespace wigeonlb::core::configuration {

namespace {

// A kind of entry of a numbered configuration: how it is named, and where the
// state keeps its entries and the dropped ones.

struct Databases
{
  using Entry = wire::DatabaseState;

  static const std::string& GetName(const Entry& aEntry)
  {
    return aEntry.database();
  }
  static const std::string& GetName(const wire::DroppedDatabase& aDropped)
  {
    return aDropped.database();
  }
  static const auto& GetWanted(const wire::NumberedConfiguration& aWanted)
  {
    return aWanted.databases();
  }
  static auto& GetPresent(wire::ControlState& aState)
  {
    return *aState.mutable_databases();
  }
  static auto& GetDropped(wire::ControlState& aState)
  {
    return *aState.mutable_dropped_databases();
  }
  static void SetName(wire::DroppedDatabase& aDropped, const std::string& aName)
  {
    aDropped.set_database(aName);
  }
};

struct Organisations
{
  using Entry = wire::OrganisationState;

  static const std::string& GetName(const Entry& aEntry)
  {
    return aEntry.organisation();
  }
  static const std::string& GetName(const wire::DroppedOrganisation& aDropped)
  {
    return aDropped.organisation();
  }
  static const auto& GetWanted(const wire::NumberedConfiguration& aWanted)
  {
    return aWanted.organisations();
  }
  static auto& GetPresent(wire::ControlState& aState)
  {
    return *aState.mutable_organisations();
  }
  static auto& GetDropped(wire::ControlState& aState)
  {
    return *aState.mutable_dropped_organisations();
  }
  static void SetName(wire::DroppedOrganisation& aDropped,
                      const std::string& aName)
  {
    aDropped.set_organisation(aName);
  }
};

template<class Entry>
bool
IsSame(const Entry& aPresent, Entry aWanted)
{
  aWanted.set_revision(aPresent.revision());
  return aPresent.SerializeAsString() == aWanted.SerializeAsString();
}

template<class Kind>
void
Drop(wire::ControlState& aState, const std::string& aName)
{
  Kind::GetPresent(aState).erase(aName);
  auto& dropped = Kind::GetDropped(aState);
  auto& entry = *dropped.Add();
  Kind::SetName(entry, aName);
  entry.set_revision(aState.revision());
  if (dropped.size() > kDroppedEntriesLimit) {
    aState.set_dropped_horizon(
      std::max(aState.dropped_horizon(), dropped.Get(0).revision()));
    dropped.DeleteSubrange(0, 1);
  }
}

template<class Kind>
void
DropMissing(wire::ControlState& aState,
            const wire::NumberedConfiguration& aConfiguration)
{
  std::set<std::string> missing;
  for (const auto& [name, entry] : Kind::GetPresent(aState)) {
    missing.insert(name);
  }
  for (const auto& wanted : Kind::GetWanted(aConfiguration)) {
    missing.erase(Kind::GetName(wanted));
  }
  for (const std::string& name : missing) {
    Drop<Kind>(aState, name);
  }
}

template<class Kind>
void
Adopt(wire::ControlState& aState,
      const wire::NumberedConfiguration& aConfiguration)
{
  DropMissing<Kind>(aState, aConfiguration);
  auto& present = Kind::GetPresent(aState);
  for (const auto& wanted : Kind::GetWanted(aConfiguration)) {
    const std::string& name = Kind::GetName(wanted);
    const auto found = present.find(name);
    if (found != present.end() && IsSame(found->second, wanted)) {
      continue;
    }
    // Defined again after it was dropped.
    RemoveIf(Kind::GetDropped(aState), [&](const auto& aDropped) {
      return Kind::GetName(aDropped) == name;
    });
    typename Kind::Entry& entry = present[name];
    entry = wanted;
    entry.set_revision(aState.revision());
  }
}

} // namespace

void
AdoptEntries(wire::ControlState& aState,
             const wire::NumberedConfiguration& aConfiguration)
{
  Adopt<Databases>(aState, aConfiguration);
  Adopt<Organisations>(aState, aConfiguration);
  aState.set_identifies_organisations(
    aConfiguration.identifies_organisations());
  aState.set_document_number(aConfiguration.number());
  aState.set_document(aConfiguration.document());
}

} // namespace wigeonlb::core::configuration
