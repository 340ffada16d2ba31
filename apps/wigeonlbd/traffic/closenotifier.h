#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "forward.pb.h"
#include "traffic/forwardport.h"
#include "traffic/pendingcloses.h"

namespace wigeonlb::daemon::traffic {

//! Tells owners which requests of this host's sessions have been given up,
//! again until they have heard it. Outlives the sessions. Used on one traffic
//! thread only.
class CloseNotifier
{
public:
  CloseNotifier(boost::asio::io_context& aContext, ForwardPort& aPort);

  //! The session's requests up to aRequest were given up at this owner.
  void GiveUp(const SessionAtOwner& aAt, std::uint64_t aRequest);
  //! The session has ended with nothing outstanding at this owner.
  void Close(const SessionAtOwner& aAt, std::uint64_t aRequest);
  //! A request was sent to the owner.
  void OnRequestSent(const SessionAtOwner& aAt);
  void OnClosed(const foundation::HostId& aFrom,
                const wire::ForwardClosed& aClosed);

private:
  void Send(const SessionAtOwner& aAt, std::uint64_t aRequest, bool aConfirm);
  void SetTimer();

  ForwardPort& port_;
  PendingCloses pending_;
  boost::asio::steady_timer timer_;
  bool timerSet_ = false;
};

} // namespace wigeonlb::daemon::traffic
