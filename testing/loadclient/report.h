#pragma once

#include <string>

#include "testing/loadclient/outcomes.h"
#include "testing/loadclient/settings.h"

namespace wigeonlb::testing::loadclient {

//! Result of a run.
struct RunResult
{
  Statistics statistics_;
  LedgerCheck ledger_;
  Instant startedAt_;
  Instant endedAt_;
};

//! True if an invariant was violated.
bool
HasViolations(const RunResult& aResult);

//! The statistics as CSV: a header line and a line of values.
std::string
ToCsv(const Settings& aSettings, const RunResult& aResult);

} // namespace wigeonlb::testing::loadclient
