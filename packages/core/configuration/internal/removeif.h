#pragma once

#include <algorithm>

namespace wigeonlb::core::configuration {

//! Takes the elements that the predicate names out of a repeated field.
template<class Repeated, class Predicate>
void
RemoveIf(Repeated& aElements, Predicate aMatches)
{
  aElements.erase(std::remove_if(aElements.begin(), aElements.end(), aMatches),
                  aElements.end());
}

} // namespace wigeonlb::core::configuration
