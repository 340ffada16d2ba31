#include "core/configuration/delta.h"

namespace wigeonlb::core::configuration {

namespace {

void
AddDropped(const wire::ControlState& aState,
           foundation::Revision aSince,
           wire::HeartbeatReply& aReply)
{
  for (const wire::DroppedGroup& dropped : aState.dropped_groups()) {
    if (dropped.revision() > aSince) {
      aReply.add_dropped_groups(dropped.group());
    }
  }
  for (const wire::DroppedDatabase& dropped : aState.dropped_databases()) {
    if (dropped.revision() > aSince) {
      aReply.add_dropped_databases(dropped.database());
    }
  }
  for (const auto& dropped : aState.dropped_organisations()) {
    if (dropped.revision() > aSince) {
      aReply.add_dropped_organisations(dropped.organisation());
    }
  }
}

} // namespace

wire::HeartbeatReply
DeltaSince(const wire::ControlState& aState, foundation::Revision aSince)
{
  wire::HeartbeatReply reply;
  reply.set_revision(aState.revision());
  if (aSince >= aState.revision()) {
    reply.set_base_revision(aState.revision());
    return reply;
  }
  const bool whole = aSince == 0 || aSince < aState.dropped_horizon();
  reply.set_whole(whole);
  reply.set_base_revision(whole ? 0 : aSince);
  *reply.mutable_settings() = aState.settings();
  reply.set_identifies_organisations(aState.identifies_organisations());
  for (const auto& [name, group] : aState.groups()) {
    if (whole || group.revision() > aSince) {
      *reply.add_groups() = group;
    }
  }
  for (const auto& [name, database] : aState.databases()) {
    if (whole || database.revision() > aSince) {
      *reply.add_databases() = database;
    }
  }
  for (const auto& [name, organisation] : aState.organisations()) {
    if (whole || organisation.revision() > aSince) {
      *reply.add_organisations() = organisation;
    }
  }
  if (!whole) {
    AddDropped(aState, aSince, reply);
  }
  return reply;
}

} // namespace wigeonlb::core::configuration
