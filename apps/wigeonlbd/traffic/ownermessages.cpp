// Part of TrafficShard: messages of entry hosts to the owner groups.
#include "traffic/trafficshard.h"

#include <utility>

#include "caller/sqlstates.h"

namespace wigeonlb::daemon::traffic {

namespace {

//! Retry delay that is suggested for a request whose organisation this host
//! doesn't know: a heartbeat brings what it lacks.
constexpr foundation::Duration kUnknownOrganisationRetryMs =
  std::chrono::milliseconds(300);

} // namespace

bool
TrafficShard::IsOfPresentBoot(const wire::PeerMessage& aMessage)
{
  Boots& boots = boots_[aMessage.from()];
  if (aMessage.boot() == boots.present_) {
    return true;
  }
  if (boots.former_.contains(aMessage.boot())) {
    return false; // held back since before the host was started again
  }
  boots.former_.insert(std::exchange(boots.present_, aMessage.boot()));
  for (const auto& [name, owner] : owners_) {
    owner->OnHostLost(aMessage.from(), boots.present_);
  }
  return true;
}

void
TrafficShard::OnOwnerMessage(const wire::PeerMessage& aMessage)
{
  if (!IsOfPresentBoot(aMessage)) {
    return;
  }
  using Body = wire::PeerMessage::BodyCase;
  const foundation::GroupName* group = nullptr;
  switch (aMessage.body_case()) {
    case Body::kForwardRequest:
      group = &aMessage.forward_request().group();
      break;
    case Body::kForwardCredit:
      group = &aMessage.forward_credit().group();
      break;
    case Body::kForwardCancel:
      group = &aMessage.forward_cancel().group();
      break;
    case Body::kForwardClose:
      group = &aMessage.forward_close().group();
      break;
    case Body::kForwardCheck:
      AnswerCheck(aMessage);
      return;
    default:
      return;
  }
  if (aMessage.has_forward_request() && aMessage.from() != entry_.host_) {
    lastRequestAt_ = foundation::SteadyNow();
  }
  const auto found = owners_.find(*group);
  if (found == owners_.end()) {
    AnswerNotOwner(aMessage);
    ConfirmClose(aMessage);
    return;
  }
  OwnerGroup& owner = *found->second;
  if (IsRefusedWhileRetiring(owner, *group, aMessage)) {
    RefuseAsRetiring(owner, aMessage);
    return;
  }
  if (aMessage.has_forward_request()) {
    OnRequest(owner, aMessage);
  } else if (aMessage.has_forward_credit()) {
    owner.OnCredit(aMessage.from(), aMessage.boot(), aMessage.forward_credit());
  } else if (aMessage.has_forward_cancel()) {
    owner.OnCancel(aMessage.from(), aMessage.boot(), aMessage.forward_cancel());
  } else {
    owner.OnClose(aMessage.from(), aMessage.boot(), aMessage.forward_close());
    ConfirmClose(aMessage);
  }
}

void
TrafficShard::OnRequest(OwnerGroup& aOwner, const wire::PeerMessage& aMessage)
{
  const wire::ForwardRequest& request = aMessage.forward_request();
  if (!IsKnownOrganisation(entry_.routes_, request.tenant())) {
    AnswerNotRun(aMessage,
                 "this owner doesn't know the caller's organisation yet",
                 kUnknownOrganisationRetryMs);
  } else if (QuotaGate::NeedsToken(entry_.routes_, request)) {
    quota_.Admit(aMessage);
  } else {
    aOwner.OnRequest(aMessage.from(), aMessage.boot(), request);
  }
}

QuotaCallbacks
TrafficShard::MakeQuotaCallbacks()
{
  QuotaCallbacks callbacks;
  callbacks.send_ = [this](wire::QuotaRequest aRequest) {
    settings_.requestTokens_(std::move(aRequest));
  };
  callbacks.run_ = [this](const wire::PeerMessage& aMessage) {
    return RunAdmitted(aMessage);
  };
  callbacks.refuse_ = [this](const wire::PeerMessage& aMessage,
                             const std::string& aReason,
                             foundation::Duration aRetryAfter) {
    AnswerNotRun(aMessage, aReason, aRetryAfter);
  };
  return callbacks;
}

bool
TrafficShard::RunAdmitted(const wire::PeerMessage& aMessage)
{
  const wire::ForwardRequest& request = aMessage.forward_request();
  const auto owner = owners_.find(request.group());
  const bool isOfFormerBoot =
    boots_[aMessage.from()].present_ != aMessage.boot();
  if (owner == owners_.end() || isOfFormerBoot) {
    AnswerNotOwner(aMessage);
    return false;
  }
  if (IsRefusedWhileRetiring(*owner->second, request.group(), aMessage)) {
    RefuseAsRetiring(*owner->second, aMessage);
    return false;
  }
  owner->second->OnRequest(aMessage.from(), aMessage.boot(), request);
  return true;
}

void
TrafficShard::RefuseAsRetiring(OwnerGroup& aOwner,
                               const wire::PeerMessage& aMessage)
{
  // What the session has here was given up before the request was sent.
  wire::ForwardClose close;
  close.set_session(aMessage.forward_request().session());
  close.set_request(aMessage.forward_request().request());
  aOwner.OnClose(aMessage.from(), aMessage.boot(), close);
  AnswerNotOwner(aMessage);
}

void
TrafficShard::AnswerNotRun(const wire::PeerMessage& aMessage,
                           const std::string& aReason,
                           foundation::Duration aRetryAfter)
{
  wire::PeerMessage answer;
  wire::ForwardEnd& end = *answer.mutable_forward_end();
  end.set_session(aMessage.forward_request().session());
  end.set_request(aMessage.forward_request().request());
  end.set_boot(aMessage.boot());
  end.set_outcome(wire::OUTCOME_NOT_RUN);
  end.set_sqlstate(std::string(caller::sqlstates::kNotRun));
  end.set_message(aReason);
  end.set_retry_after_us(static_cast<std::uint64_t>(aRetryAfter.count()));
  end.set_transaction_status("I");
  // If it is lost, the request ends at its deadline.
  (void)entry_.port_->SendForward(aMessage.from(), std::move(answer));
}

void
TrafficShard::ConfirmClose(const wire::PeerMessage& aMessage)
{
  if (!aMessage.has_forward_close() || !aMessage.forward_close().confirm()) {
    return;
  }
  const wire::ForwardClose& close = aMessage.forward_close();
  wire::PeerMessage answer;
  wire::ForwardClosed& closed = *answer.mutable_forward_closed();
  closed.set_session(close.session());
  closed.set_group(close.group());
  closed.set_request(close.request());
  closed.set_boot(aMessage.boot());
  // If it is lost, the close is sent again.
  (void)entry_.port_->SendForward(aMessage.from(), std::move(answer));
}

//! NOTE A request that has not arrived is closed, so that it is not run if it
//! arrives later.
void
TrafficShard::AnswerCheck(const wire::PeerMessage& aMessage)
{
  const wire::ForwardCheck& check = aMessage.forward_check();
  const auto owner = owners_.find(check.group());
  const bool known =
    owner != owners_.end() &&
    owner->second->OnCheck(aMessage.from(), aMessage.boot(), check);
  wire::PeerMessage answer;
  wire::ForwardChecked& checked = *answer.mutable_forward_checked();
  checked.set_session(check.session());
  checked.set_request(check.request());
  checked.set_known(known);
  checked.set_boot(aMessage.boot());
  // If it is lost, the request ends at its deadline.
  (void)entry_.port_->SendForward(aMessage.from(), std::move(answer));
}

void
TrafficShard::AnswerNotOwner(const wire::PeerMessage& aMessage)
{
  if (!aMessage.has_forward_request()) {
    return;
  }
  wire::PeerMessage answer;
  wire::ForwardEnd& end = *answer.mutable_forward_end();
  end.set_session(aMessage.forward_request().session());
  end.set_request(aMessage.forward_request().request());
  end.set_boot(aMessage.boot());
  end.set_outcome(wire::OUTCOME_NOT_RUN);
  end.set_not_owner(true);
  // If it is lost, the request ends at its deadline.
  (void)entry_.port_->SendForward(aMessage.from(), std::move(answer));
}

} // namespace wigeonlb::daemon::traffic
