#pragma once

#include <system_error>

#include "forward.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::traffic {

//! Sends forward messages between entry hosts and owners. Messages to this host
//! itself are delivered within the process.
class ForwardPort
{
public:
  virtual ~ForwardPort() = default;

  //! Queues a message without blocking. On an error the message is discarded.
  virtual std::error_code SendForward(const foundation::HostId& aHost,
                                      wire::PeerMessage aMessage) = 0;
};

} // namespace wigeonlb::daemon::traffic
