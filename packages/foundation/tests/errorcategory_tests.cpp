#include "foundation/errorcategory.h"

#include <array>

#include <catch2/catch.hpp>

using wigeonlb::foundation::ErrorCategory;
using wigeonlb::foundation::ErrorText;

namespace {

enum class SampleError
{
  First = 1,
  Second,
};

constexpr std::array kTexts{
  ErrorText<SampleError>{ SampleError::First, "the first" },
  ErrorText<SampleError>{ SampleError::Second, "the second" },
};

} // namespace

TEST_CASE("an error category returns the messages of its table")
{
  const ErrorCategory<SampleError> category("sample", kTexts);
  const auto [value, message] = GENERATE(table<int, const char*>({
    { 1, "the first" },
    { 2, "the second" },
    { 0, "unknown error 0" },
    { 9, "unknown error 9" },
  }));
  CHECK(category.message(value) == message);
  CHECK(std::string(category.name()) == "sample");
}
