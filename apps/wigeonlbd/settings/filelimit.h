#pragma once

#include <cstddef>
#include <cstdint>

#include "foundation/findings.h"

//! The limit on open files of this process (RLIMIT_NOFILE).
namespace wigeonlb::daemon::settings {

//! Open files per link to another host: the connection and the mailbox of the
//! ZeroMQ socket, and the connection that the other host opens.
constexpr std::uint64_t kFilesPerHost = 3;

//! Open files other than those of links and callers: endpoints, connections to
//! targets, the data folder.
constexpr std::uint64_t kBaseFiles = 512;

//! Open files needed with links to aHosts hosts, without those of callers.
constexpr std::uint64_t
ComputeFilesNeeded(std::size_t aHosts)
{
  return kBaseFiles + kFilesPerHost * aHosts;
}

//! The soft limit; the largest representable number if there is none.
std::uint64_t
GetFileLimit();

//! Raises the soft limit to the hard limit. Adds a finding if that is too low
//! for links to aHosts hosts.
void
RaiseFileLimit(std::size_t aHosts, foundation::Findings& aFindings);

} // namespace wigeonlb::daemon::settings
