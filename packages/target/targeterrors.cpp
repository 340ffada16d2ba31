#include "target/targeterrors.h"

#include <array>

#include "foundation/errorcategory.h"

namespace wigeonlb::target {

namespace {

using Text = foundation::ErrorText<TargetError>;

constexpr std::array kTexts{
  Text{ TargetError::ConnectFailed, "could not connect to the target" },
  Text{ TargetError::ConnectTimedOut,
        "the target did not respond within the connect timeout" },
  Text{ TargetError::ConnectionLost, "the connection to the target was lost" },
  Text{ TargetError::BadStatus, "the target's status is malformed" },
  Text{ TargetError::UnknownDialect, "unknown dialect" },
};

} // namespace

std::error_code
make_error_code(TargetError aError)
{
  static const foundation::ErrorCategory<TargetError> kCategory("target",
                                                                kTexts);
  return { static_cast<int>(aError), kCategory };
}

} // namespace wigeonlb::target
