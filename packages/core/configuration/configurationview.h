#pragma once

#include <vector>

#include "control.pb.h"
#include "core/configuration/applyrecord.h"
#include "foundation/identifiers.h"
#include "storage.pb.h"

namespace wigeonlb::core::configuration {

//! The configuration that is in force at one host.
struct ConfigurationView
{
  //! Revision, groups, databases and settings; the other fields stay empty.
  wire::ControlState state_;
  //! Highest revision that a member was ever heard to have.
  foundation::Revision highestRevisionSeen_ = 0;
};

//! What a reply changed in a view.
struct ViewChange
{
  //! The revision in force rose.
  bool changed_ = false;
  std::vector<foundation::GroupName> changedGroups_;
  std::vector<foundation::GroupName> droppedGroups_;
  bool settingsChanged_ = false;
  //! The reply was not usable: it is older than what is in force, or its
  //! delta starts after it.
  bool ignored_ = false;
};

//! Takes over a reply's configuration if it is newer than the one in force.
//! NOTE A member answers with what it has applied, thus with committed state
//! only. A view that was lost with its host's data starts at revision 0 and
//! takes whatever the first member offers: that can be as old as that
//! member's own lag behind the leader. The lag is bounded by its contact with
//! the leader, and ends with the first reply of a member that has caught up.
//! A host with a data folder keeps its view and is not affected.
ViewChange
ApplyReply(ConfigurationView& aView,
           const wire::HeartbeatReply& aReply,
           const Guards& aGuards = {});

//! For the host's data folder.
wire::HostMemory
ToMemory(const ConfigurationView& aView);
ConfigurationView
FromMemory(const wire::HostMemory& aMemory);

} // namespace wigeonlb::core::configuration
