#pragma once

#include <span>
#include <string>
#include <system_error>

namespace wigeonlb::foundation {

//! One row of a module's message table.
template<typename Error>
struct ErrorText
{
  Error error_;
  const char* text_;
};

//! The std::error_category of a module's error enum. The table of messages
//! must outlive the category; both are constants of the module.
template<typename Error>
class ErrorCategory final : public std::error_category
{
public:
  ErrorCategory(const char* aName, std::span<const ErrorText<Error>> aTexts)
    : name_(aName)
    , texts_(aTexts)
  {
  }

  const char* name() const noexcept override { return name_; }

  //! The message of a value, or `unknown error` and the number for a value that
  //! is not in the table.
  std::string message(int aValue) const override
  {
    for (const ErrorText<Error>& row : texts_) {
      if (static_cast<int>(row.error_) == aValue) {
        return row.text_;
      }
    }
    return "unknown error " + std::to_string(aValue);
  }

private:
  const char* name_;
  std::span<const ErrorText<Error>> texts_;
};

} // namespace wigeonlb::foundation
