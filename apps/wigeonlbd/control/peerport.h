#pragma once

#include "forward.pb.h"
#include "foundation/identifiers.h"

namespace wigeonlb::daemon::control {

//! Sends control messages to hosts. A message to this host itself is posted to
//! the control thread.
class PeerPort
{
public:
  virtual ~PeerPort() = default;
  //! Drops a message that can't be sent: every control message is repeated or
  //! superseded by a later one.
  virtual void SendControl(const foundation::HostId& aHost,
                           wire::PeerMessage aMessage) = 0;
};

} // namespace wigeonlb::daemon::control
