#pragma once

#include <vector>

#include "control.pb.h"
#include "core/configuration/applyrecord.h"
#include "foundation/identifiers.h"
#include "storage.pb.h"

namespace wigeonlb::core::configuration {

//! The configuration in force at a host.
struct ConfigurationView
{
  //! Only the revision, groups, databases, organisations and settings are set.
  wire::ControlState state_;
  //! Highest revision that any control member has reported.
  foundation::Revision highestRevisionSeen_ = 0;
};

//! Changes that a reply made to a view.
struct ViewChange
{
  //! The revision in force was raised.
  bool changed_ = false;
  std::vector<foundation::GroupName> changedGroups_;
  std::vector<foundation::GroupName> droppedGroups_;
  bool settingsChanged_ = false;
  //! The reply was not applied: it is older than the revision in force, or its
  //! delta starts after that revision.
  bool ignored_ = false;
};

//! Applies the configuration of a reply if it is newer than the one in force.
//! NOTE A member replies with the state that it has applied, which is always
//! committed but may lag behind the leader's. A host that has lost its data
//! starts at revision 0 and accepts the first reply, so that its view may be
//! outdated by as long as the member has had no contact with the leader. The
//! view is current again with the first reply of a member that has caught up. A
//! host with a data folder keeps its view and is not affected.
ViewChange
ApplyReply(ConfigurationView& aView,
           const wire::HeartbeatReply& aReply,
           const Guards& aGuards = {});

//! Conversion to and from the record in the host's data folder.
wire::HostMemory
ToMemory(const ConfigurationView& aView);
ConfigurationView
FromMemory(const wire::HostMemory& aMemory);

} // namespace wigeonlb::core::configuration
