#pragma once

#include <compare>
#include <cstdint>

namespace wigeonlb::foundation {

//! A term of a group, and how often it was resumed after a fence. What was
//! permitted in one epoch is void in a later one.
struct TermEpoch
{
  std::uint64_t term_ = 0;
  std::uint64_t epoch_ = 0;

  auto operator<=>(const TermEpoch&) const = default;
};

//! Of a message with the fields `term` and `epoch`.
template<class Message>
TermEpoch
GetTermEpoch(const Message& aMessage)
{
  return { aMessage.term(), aMessage.epoch() };
}

} // namespace wigeonlb::foundation
