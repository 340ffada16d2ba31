#pragma once

#include <span>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "foundation/metrics.h"
#include "operator/statements.h"
#include "operator/table.h"

namespace wigeonlb::operators {

//! Removes the rows that don't satisfy all conditions. Returns an error message
//! if a condition names an unknown column, otherwise an empty string.
std::string
ApplyConditions(Table& aTable, std::span<const Condition> aConditions);

//! Formats the table with aligned columns, a header and a line with the row
//! count.
std::string
ToText(const Table& aTable);

//! `{"columns": [...], "rows": [{"column": "value", ...}, ...]}`.
nlohmann::json
ToJson(const Table& aTable);

//! Reads the output of ToJson. Returns an empty table if aJson is not an object
//! with `columns` and `rows`.
Table
TableFromJson(const nlohmann::json& aJson);

//! The result of `show metrics`; times are in milliseconds.
Table
MakeMetricsTable(std::span<const foundation::MetricSnapshot> aMetrics);

//! The result of `show help`: the statements of the language.
Table
MakeHelpTable();

} // namespace wigeonlb::operators
