#pragma once

#include <system_error>

namespace wigeonlb::peer {

//! Errors of a link to another host.
enum class PeerError
{
  UnknownPeer = 1, //!< The host is not in the list last passed to SetPeers.
  QueueFull,       //!< The queue of the link is full.
  Stopped,         //!< The links are not started, or already stopped.
  BadAddress,      //!< Not a valid `ip:port`, or it can't be bound.
  MessageTooLarge, //!< Larger than kMaxMessageBytes.
};

std::error_code
make_error_code(PeerError aError);

} // namespace wigeonlb::peer

template<>
struct std::is_error_code_enum<wigeonlb::peer::PeerError> : std::true_type
{
};
