#pragma once

#include <string>

#include "testing/loadclient/outcomes.h"
#include "testing/loadclient/settings.h"

namespace wigeonlb::testing::loadclient {

//! The result of a whole run.
struct RunResult
{
  Statistics statistics_;
  LedgerCheck ledger_;
  Instant startedAt_;
  Instant endedAt_;
};

//! Whether an invariant was broken.
bool
HasViolations(const RunResult& aResult);

//! A header line and a line of figures, as CSV.
std::string
ToCsv(const Settings& aSettings, const RunResult& aResult);

} // namespace wigeonlb::testing::loadclient
