#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "core/classification/classification.h"

namespace wigeonlb::core::classification::internal {

//! Properties of a statement, collected from all nodes of its syntax tree.
struct TreeFacts
{
  //! Contains a node or a function that isn't known to be read-only.
  bool mayWrite_ = false;
  bool locksRows_ = false;
  bool readsSessionState_ = false;
  //! Set if the statement uses a function or a temporary table that outlives
  //! the transaction.
  std::optional<Refusal> refusal_;
};

//! Inspects a syntax tree in the JSON format of libpg_query.
TreeFacts
Inspect(const nlohmann::json& aTree);

} // namespace wigeonlb::core::classification::internal
