#include "settings/filelimit.h"

#include <limits>
#include <string>

#include <sys/resource.h>

namespace wigeonlb::daemon::settings {

std::uint64_t
GetFileLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::uint64_t>::max();
  }
  return limit.rlim_cur;
}

void
RaiseFileLimit(std::size_t aHosts, foundation::Findings& aFindings)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
      limit.rlim_cur != limit.rlim_max) {
    limit.rlim_cur = limit.rlim_max;
    // If this fails, the check below reports a limit that is too low.
    (void)setrlimit(RLIMIT_NOFILE, &limit);
  }
  const std::uint64_t needed = ComputeFilesNeeded(aHosts);
  if (GetFileLimit() < needed) {
    foundation::AddFinding(
      aFindings,
      "RLIMIT_NOFILE",
      std::to_string(GetFileLimit()) + " open files are allowed, links to " +
        std::to_string(aHosts) + " hosts need " + std::to_string(needed));
  }
}

} // namespace wigeonlb::daemon::settings
