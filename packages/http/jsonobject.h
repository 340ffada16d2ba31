#pragma once

#include <string_view>

#include <nlohmann/json.hpp>

#include "foundation/findings.h"

namespace wigeonlb::http {

//! Parses a body that holds one JSON object. Text that isn't JSON, deep nesting
//! and an object with two equal keys are findings; the result is then empty. A
//! byte-order mark is skipped, as RFC 8259 allows.
nlohmann::json
ParseJsonObject(std::string_view aText, foundation::Findings& aFindings);

} // namespace wigeonlb::http
