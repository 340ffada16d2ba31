#include <catch2/catch.hpp>

#include <algorithm>

#include <sys/resource.h>

#include "settings/filelimit.h"

namespace wigeonlb::daemon::settings {

namespace {

//! Sets the limits of open files for a test, and the one in force back.
struct LimitInForce
{
  explicit LimitInForce(rlim_t aFiles)
  {
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
    rlimit limit = before_;
    limit.rlim_cur = std::min(aFiles, before_.rlim_max);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  ~LimitInForce() { (void)setrlimit(RLIMIT_NOFILE, &before_); }
  LimitInForce(const LimitInForce&) = delete;
  LimitInForce& operator=(const LimitInForce&) = delete;

  rlimit before_{};
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
  const LimitInForce limit(100);
  foundation::Findings findings;
  RaiseFileLimit(row.hosts_, findings);
  CHECK(GetFileLimit() == limit.before_.rlim_max);
  CHECK(findings.empty() != row.found_);
  CHECK((foundation::ToString(findings).find("RLIMIT_NOFILE") !=
         std::string::npos) == row.found_);
}

} // namespace wigeonlb::daemon::settings
