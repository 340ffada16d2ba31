#include "core/trace/traceerrors.h"

#include <array>

#include "foundation/errorcategory.h"

namespace wigeonlb::core::trace {

namespace {

using Text = foundation::ErrorText<TraceError>;

constexpr std::array kTexts{
  Text{ TraceError::Unreadable, "the file can't be read" },
  Text{ TraceError::MissingHeader, "the first record is not a header" },
  Text{ TraceError::WrongVersion, "the trace has an unsupported version" },
  Text{ TraceError::Corrupt, "the record can't be parsed" },
  Text{ TraceError::OutOfOrder, "a record is missing or out of order" },
  Text{ TraceError::Truncated, "the last record is cut off" },
};

} // namespace

std::error_code
make_error_code(TraceError aError)
{
  static const foundation::ErrorCategory<TraceError> kCategory("trace", kTexts);
  return { static_cast<int>(aError), kCategory };
}

} // namespace wigeonlb::core::trace
