#pragma once

#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "control/consensusmember.h"
#include "storage/tests/memoryfilesystem.h"

namespace wigeonlb::daemon::control {

//! The only control member of a system, on an in-memory file system. Its clock
//! is the real one.
struct SingleMember
{
  storage::MemoryFileSystem files_;
  storage::DataFolder folder_;
  std::vector<core::consensus::ProposalOutcome> decided_;
  int replaced_ = 0; //!< number of times that the control state was replaced
  std::unique_ptr<ConsensusMember> member_;

  SingleMember();

  //! Ends the process and starts it again. Returns the error of the start.
  std::error_code Restart();
};

//! Feeds ticks until the member leads and is ready, at most 20 s.
bool
WaitUntilReady(SingleMember& aMember);

//! Proposes a change that creates a group without options.
void
CreateGroup(SingleMember& aMember, const std::string& aGroup);

bool
HasGroup(const SingleMember& aMember, const std::string& aGroup);

} // namespace wigeonlb::daemon::control
