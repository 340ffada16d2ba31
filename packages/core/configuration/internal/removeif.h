#pragma once

#include <algorithm>

namespace wigeonlb::core::configuration {

//! Takes the elements that the predicate names out of a repeated field.
template<class Repeated, class Predicate>
void
RemoveIf(Repeated& aElements, Predicate aGoes)
{
  aElements.erase(std::remove_if(aElements.begin(), aElements.end(), aGoes),
                  aElements.end());
}

} // namespace wigeonlb::core::configuration
