#include "traffic/closenotifier.h"

namespace wigeonlb::daemon::traffic {

using foundation::SteadyNow;

CloseNotifier::CloseNotifier(boost::asio::io_context& aContext,
                             ForwardPort& aPort)
  : port_(aPort)
  , timer_(aContext)
{
}

void
CloseNotifier::GiveUp(const SessionAtOwner& aAt, std::uint64_t aRequest)
{
  AddClose(pending_, aAt, aRequest, SteadyNow());
  Send(aAt, aRequest, true);
  SetTimer();
}

void
CloseNotifier::Close(const SessionAtOwner& aAt, std::uint64_t aRequest)
{
  const bool isPending = pending_.closes_.contains(aAt);
  if (isPending) {
    GiveUp(aAt, aRequest);
  } else {
    Send(aAt, aRequest, false);
  }
}

void
CloseNotifier::OnRequestSent(const SessionAtOwner& aAt)
{
  SupersedeClose(pending_, aAt);
}

void
CloseNotifier::OnClosed(const foundation::HostId& aFrom,
                        const wire::ForwardClosed& aClosed)
{
  ConfirmClose(
    pending_, { aFrom, aClosed.group(), aClosed.session() }, aClosed.request());
}

void
CloseNotifier::Send(const SessionAtOwner& aAt,
                    std::uint64_t aRequest,
                    bool aConfirm)
{
  wire::PeerMessage message;
  wire::ForwardClose& close = *message.mutable_forward_close();
  close.set_session(aAt.session_);
  close.set_group(aAt.group_);
  close.set_request(aRequest);
  close.set_confirm(aConfirm);
  // If it can't be sent, it stays pending.
  (void)port_.SendForward(aAt.owner_, std::move(message));
}

void
CloseNotifier::SetTimer()
{
  if (timerSet_ || pending_.closes_.empty()) {
    return;
  }
  timerSet_ = true;
  timer_.expires_after(kCloseCheckIntervalMs);
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (aError) {
      return;
    }
    timerSet_ = false;
    for (const DueClose& close : ExtractDueCloses(pending_, SteadyNow())) {
      Send(close.at_, close.request_, true);
    }
    SetTimer();
  });
}

} // namespace wigeonlb::daemon::traffic
