#include "peer/peererrors.h"

#include <array>

#include "foundation/errorcategory.h"

namespace wigeonlb::peer {

namespace {

using Text = foundation::ErrorText<PeerError>;

constexpr std::array kTexts{
  Text{ PeerError::UnknownPeer, "the host is not a known peer" },
  Text{ PeerError::QueueFull, "the link's queue is full" },
  Text{ PeerError::Stopped, "the links are not running" },
  Text{ PeerError::BadAddress, "the peer address can't be bound" },
  Text{ PeerError::MessageTooLarge, "the message is too large" },
};

} // namespace

std::error_code
make_error_code(PeerError aError)
{
  static const foundation::ErrorCategory<PeerError> kCategory("peer", kTexts);
  return { static_cast<int>(aError), kCategory };
}

} // namespace wigeonlb::peer
