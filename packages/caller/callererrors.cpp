#include "caller/callererrors.h"

#include <array>

#include "foundation/errorcategory.h"

namespace wigeonlb::caller {

namespace {

using Text = foundation::ErrorText<CallerError>;

constexpr std::array kTexts{
  Text{ CallerError::BadLength, "message length is too small" },
  Text{ CallerError::MessageTooLong, "message is too long" },
  Text{ CallerError::BadStartupPacket, "startup packet is malformed" },
  Text{ CallerError::UnsupportedProtocol, "unsupported frontend protocol" },
  Text{ CallerError::BadOptions,
        "invalid value for startup parameter \"options\"" },
  Text{ CallerError::BadQuery, "query message is malformed" },
  Text{ CallerError::UnexpectedMessage, "unexpected message type" },
  Text{ CallerError::StartupTimeout, "no startup packet before the timeout" },
};

} // namespace

std::error_code
make_error_code(CallerError aError)
{
  static const foundation::ErrorCategory<CallerError> kCategory("caller",
                                                                kTexts);
  return { static_cast<int>(aError), kCategory };
}

} // namespace wigeonlb::caller
