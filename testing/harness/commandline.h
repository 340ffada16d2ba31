#pragma once

#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <utility>

#include <cxxopts.hpp>

#include "foundation/findings.h"

//! Command-line parsing shared by the test programs.
namespace wigeonlb::testing::harness {

//! Stores the value of an option in aValue, which stays unchanged if the option
//! is absent.
template<typename T>
void
ReadOption(const cxxopts::ParseResult& aResult, const char* aName, T& aValue)
{
  if (aResult.count(aName) > 0) {
    aValue = aResult[aName].as<T>();
  }
}

//! Overload for durations, written as a whole number of milliseconds.
inline void
ReadOption(const cxxopts::ParseResult& aResult,
           const char* aName,
           std::chrono::milliseconds& aValue)
{
  if (aResult.count(aName) > 0) {
    aValue = std::chrono::milliseconds(aResult[aName].as<std::uint32_t>());
  }
}

//! Parses the command line and passes the result to aReadValues. Errors are
//! added to aFindings. Returns false if help was requested, after printing it.
template<typename ReadValues>
bool
ParseCommandLine(cxxopts::Options& aOptions,
                 int argc,
                 const char* const* argv,
                 foundation::Findings& aFindings,
                 ReadValues&& aReadValues)
{
  // cxxopts reports errors as exceptions of several types.
  try {
    const auto result = aOptions.parse(argc, argv);
    if (result.count("help") > 0) {
      std::cout << aOptions.help();
      return false;
    }
    aReadValues(result);
  } catch (const std::exception& error) {
    foundation::AddFinding(aFindings, "command line", error.what());
  }
  return true;
}

} // namespace wigeonlb::testing::harness
