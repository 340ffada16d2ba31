#include <catch2/catch.hpp>

#include <algorithm>

#include <sys/resource.h>

#include "settings/filelimit.h"

namespace wigeonlb::daemon::settings {

namespace {

//! Sets the soft limit of open files for a test, and restores it afterwards.
struct ScopedFileLimit
{
  explicit ScopedFileLimit(rlim_t aFiles)
  {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &previous_) == 0);
    rlimit limit = previous_;
    limit.rlim_cur = std::min(aFiles, previous_.rlim_max);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~ScopedFileLimit() { (void)setrlimit(RLIMIT_NOFILE, &previous_); }
  ScopedFileLimit(const ScopedFileLimit&) = delete;
  ScopedFileLimit& operator=(const ScopedFileLimit&) = delete;

  rlimit previous_{};
};

} // namespace

TEST_CASE("the limit of open files is raised and checked", "[filelimit]")
{
  struct Row
  {
    std::size_t hosts_;
    bool found_;
  };
  const auto row = GENERATE(Row{ 1, false }, Row{ SIZE_MAX / 4, true });
  const ScopedFileLimit limit(100);
  foundation::Findings findings;
  RaiseFileLimit(row.hosts_, findings);
  CHECK(GetFileLimit() == limit.previous_.rlim_max);
  CHECK(findings.empty() != row.found_);
  CHECK((foundation::ToString(findings).find("RLIMIT_NOFILE") !=
         std::string::npos) == row.found_);
}

} // namespace wigeonlb::daemon::settings
