#pragma once

#include <string>
#include <vector>

//! NOTE The namespace is named `operators` because `operator` is a keyword.
namespace wigeonlb::operators {

//! Rows of text in named columns, such as the result of `show`.
struct Table
{
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;

  bool operator==(const Table&) const = default;
};

} // namespace wigeonlb::operators
