#pragma once

#include <cstddef>
#include <cstdint>

#include "foundation/findings.h"

//! The limit of open files of this process (RLIMIT_NOFILE).
namespace wigeonlb::daemon::settings {

//! Open files of one link to another host: its socket's connection and mailbox,
//! and the connection that the other host opens.
constexpr std::uint64_t kFilesPerHost = 3;

//! Open files beside links and callers: endpoints, targets, the data folder.
constexpr std::uint64_t kFilesBesideLinks = 512;

//! Files that links to so many hosts need, without those of callers.
constexpr std::uint64_t
ComputeFilesNeeded(std::size_t aHosts)
{
  return kFilesBesideLinks + kFilesPerHost * aHosts;
}

//! The limit in force; the largest number when there is none.
std::uint64_t
GetFileLimit();

//! Raises the limit in force to the highest that the process may set. Adds a
//! finding if it is too low for links to aHosts hosts.
void
RaiseFileLimit(std::size_t aHosts, foundation::Findings& aFindings);

} // namespace wigeonlb::daemon::settings
