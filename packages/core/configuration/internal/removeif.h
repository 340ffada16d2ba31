#pragma once

#include <algorithm>

namespace wigeonlb::core::configuration {

//! Removes the elements for which the predicate is true from a repeated field.
template<class Repeated, class Predicate>
void
RemoveIf(Repeated& aElements, Predicate aMatches)
{
  aElements.erase(std::remove_if(aElements.begin(), aElements.end(), aMatches),
                  aElements.end());
}

} // namespace wigeonlb::core::configuration
