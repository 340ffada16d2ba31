#include "traffic/trafficshard.h"

#include <algorithm>
#include <random>
#include <utility>

#include "caller/sqlstates.h"

namespace wigeonlb::daemon::traffic {

namespace {

constexpr std::size_t kCachedStatementBytes = std::size_t{ 16 } << 20U;
constexpr foundation::Duration kSweepIntervalMs =
  std::chrono::milliseconds(200);

//! Time without a request after which the entry hosts are assumed to use other
//! owners than this host.
constexpr foundation::Duration kQuietPeriodMs = std::chrono::milliseconds(200);

//! Retry delay that is suggested for a request whose organisation this host
//! doesn't know: a heartbeat brings what it lacks.
constexpr foundation::Duration kUnknownOrganisationRetryMs =
  std::chrono::milliseconds(300);

//! Maximum time for running requests of an owner group that is being closed.
constexpr foundation::Duration kRetireTimeoutMs =
  std::chrono::milliseconds(30000);

//! The secret must be unpredictable, so that a caller can't cancel the
//! statements of another one.
std::uint32_t
MakeSecret()
{
  static thread_local std::random_device kDevice;
  return kDevice();
}

} // namespace

TrafficShard::TrafficShard(boost::asio::io_context& aContext,
                           std::uint64_t aIndex,
                           ShardSettings aSettings,
                           OwnerGroupListener& aListener)
  : io_(aContext)
  , index_(aIndex)
  , settings_(std::move(aSettings))
  , listener_(aListener)
  , cache_(settings_.cachedStatements_,
           kCachedStatementBytes,
           settings_.classify_)
  , closes_(aContext, *settings_.entry_.port_)
  , entry_(settings_.entry_)
  , quota_(aContext,
           entry_.boot_,
           static_cast<std::uint32_t>(aIndex),
           entry_.metrics_,
           MakeQuotaCallbacks())
  , sweepTimer_(aContext)
{
  entry_.cache_ = &cache_;
  entry_.closes_ = &closes_;
  entry_.protocol_ = settings_.protocols_.callers_;
}

TrafficShard::~TrafficShard() = default;

void
TrafficShard::OnStartup(caller::CallerSession& aSession,
                        const caller::StartupRequest& aRequest)
{
  const std::uint64_t number = (nextNumber_++ << kShardBits) | index_;
  auto entry = std::make_unique<EntrySession>(entry_, aSession, number);
  EntrySession& session = *entry;
  entries_.emplace(number, std::move(entry));
  numbers_.emplace(aSession.Number(), number);
  session.Start(aRequest, { static_cast<std::uint32_t>(number), MakeSecret() });
}

void
TrafficShard::OnQuery(caller::CallerSession& aSession, std::string_view aSql)
{
  const auto number = numbers_.find(aSession.Number());
  if (number != numbers_.end()) {
    FindEntry(number->second)->OnQuery(aSql);
  }
}

void
TrafficShard::OnCancel(const caller::CancelKey& aKey)
{
  routeCancel_(aKey);
}

void
TrafficShard::CancelLocal(const caller::CancelKey& aKey)
{
  for (const auto& [number, entry] : entries_) {
    if (entry->Key() == aKey) {
      entry->OnCancel();
      return;
    }
  }
}

void
TrafficShard::OnDrained(caller::CallerSession& aSession)
{
  const auto number = numbers_.find(aSession.Number());
  if (number != numbers_.end()) {
    FindEntry(number->second)->OnDrained();
  }
}

void
TrafficShard::OnClosed(caller::CallerSession& aSession)
{
  const auto number = numbers_.find(aSession.Number());
  if (number == numbers_.end()) {
    return;
  }
  FindEntry(number->second)->OnClosed();
  entries_.erase(number->second);
  numbers_.erase(number);
}

EntrySession*
TrafficShard::FindEntry(std::uint64_t aNumber)
{
  const auto found = entries_.find(aNumber);
  return found == entries_.end() ? nullptr : found->second.get();
}

void
TrafficShard::OnPeerMessage(wire::PeerMessage aMessage)
{
  if (aMessage.has_forward_frames()) {
    OnFrames(std::move(*aMessage.mutable_forward_frames()));
  } else if (aMessage.has_forward_end()) {
    OnEnd(std::move(*aMessage.mutable_forward_end()), aMessage.boot());
  } else if (aMessage.has_forward_checked()) {
    OnChecked(aMessage.forward_checked());
  } else if (aMessage.has_forward_closed()) {
    OnClosed(aMessage.from(), aMessage.forward_closed());
  } else if (aMessage.has_quota_reply()) {
    quota_.OnReply(aMessage.quota_reply());
  } else {
    OnOwnerMessage(aMessage);
  }
}

//! Whether a message is for this start of the host. Session numbers begin anew
//! with each. Older owners do not tell it.
bool
TrafficShard::IsForThisBoot(std::uint64_t aBoot) const
{
  return aBoot == 0 || aBoot == entry_.boot_;
}

void
TrafficShard::OnFrames(wire::ForwardFrames aFrames)
{
  EntrySession* const entry = FindEntry(aFrames.session());
  if (entry != nullptr && IsForThisBoot(aFrames.boot())) {
    entry->OnFrames(std::move(aFrames));
  }
}

void
TrafficShard::OnEnd(wire::ForwardEnd aEnd, std::uint64_t aOwnerBoot)
{
  EntrySession* const entry = FindEntry(aEnd.session());
  if (entry != nullptr && IsForThisBoot(aEnd.boot())) {
    entry->OnEnd(std::move(aEnd), aOwnerBoot);
  }
}

void
TrafficShard::OnChecked(const wire::ForwardChecked& aChecked)
{
  EntrySession* const entry = FindEntry(aChecked.session());
  if (entry != nullptr && IsForThisBoot(aChecked.boot())) {
    entry->OnChecked(aChecked);
  }
}

void
TrafficShard::OnClosed(const foundation::HostId& aFrom,
                       const wire::ForwardClosed& aClosed)
{
  if (IsForThisBoot(aClosed.boot())) {
    closes_.OnClosed(aFrom, aClosed);
  }
}

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
  if (!MayName(entry_.routes_, request.tenant())) {
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
  (void)entry_.port_->SendForward(aMessage.from(), std::move(answer));
}

void
TrafficShard::OnHostLost(const foundation::HostId& aHost)
{
  for (const auto& [name, owner] : owners_) {
    owner->OnHostLost(aHost, 0);
  }
  WithEachEntry([&](EntrySession& aEntry) { aEntry.OnHostLost(aHost); });
}

void
TrafficShard::OnHostRestarted(const foundation::HostId& aHost,
                              std::uint64_t aBoot)
{
  for (const auto& [name, owner] : owners_) {
    owner->OnHostLost(aHost, aBoot);
  }
  WithEachEntry(
    [&](EntrySession& aEntry) { aEntry.OnHostRestarted(aHost, aBoot); });
}

void
TrafficShard::AbandonRequests()
{
  WithEachEntry([](EntrySession& aEntry) { aEntry.OnHostStops(); });
}

void
TrafficShard::WithEachEntry(const std::function<void(EntrySession&)>& aFunction)
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, entry] : entries_) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    EntrySession* const entry = FindEntry(number);
    if (entry != nullptr) {
      aFunction(*entry);
    }
  }
}

void
TrafficShard::OnHostReachable(const foundation::HostId& aHost)
{
  for (const auto& [name, owner] : owners_) {
    owner->OnHostReachable(aHost);
  }
}

void
TrafficShard::SetRoutes(RoutingTablePointer aRoutes)
{
  entry_.routes_ = std::move(aRoutes);
}

bool
TrafficShard::IsRefusedWhileRetiring(const OwnerGroup& aOwner,
                                     const foundation::GroupName& aGroup,
                                     const wire::PeerMessage& aMessage) const
{
  const bool retires = refusesRequests_ || retiring_.count(aGroup) != 0;
  return aMessage.has_forward_request() && retires &&
         !aOwner.ContinuesTransaction({ aMessage.from(),
                                        aMessage.boot(),
                                        aMessage.forward_request().session() },
                                      aMessage.forward_request());
}

bool
TrafficShard::IsReleased(foundation::Instant aNow) const
{
  const bool runs = std::ranges::any_of(owners_, [](const auto& aOwner) {
    return aOwner.second->RunningCount() != 0;
  });
  return refusesRequests_ && !runs && aNow - lastRequestAt_ >= kQuietPeriodMs;
}

OwnerGroup&
TrafficShard::GetOrCreateOwner(const foundation::GroupName& aGroup)
{
  retiring_.erase(aGroup);
  std::unique_ptr<OwnerGroup>& owner = owners_[aGroup];
  if (owner == nullptr) {
    OwnerGroupSettings settings;
    settings.group_ = aGroup;
    settings.login_ = settings_.login_;
    settings.protocols_ = settings_.protocols_;
    settings.traffic_.idleCheckInterval_ =
      settings_.protocols_.targets_->idleCheckInterval_;
    settings.traffic_.seed_ =
      settings_.seed_ + std::hash<std::string>()(aGroup);
    settings.trace_ = settings_.trace_;
    settings.log_ = entry_.log_;
    owner = std::make_unique<OwnerGroup>(
      io_, std::move(settings), *entry_.port_, listener_);
  }
  return *owner;
}

void
TrafficShard::RetireOwner(const foundation::GroupName& aGroup)
{
  if (owners_.count(aGroup) == 0) {
    return;
  }
  retiring_.try_emplace(aGroup, foundation::SteadyNow() + kRetireTimeoutMs);
  SweepRetiring();
}

std::vector<foundation::GroupName>
TrafficShard::ExtractClosedGroups()
{
  return std::exchange(closed_, {});
}

void
TrafficShard::SweepRetiring()
{
  const foundation::Instant now = foundation::SteadyNow();
  for (auto item = retiring_.begin(); item != retiring_.end();) {
    const auto owner = owners_.find(item->first);
    if (owner == owners_.end() || owner->second->RunningCount() == 0 ||
        now >= item->second) {
      if (owner != owners_.end()) {
        closed_.push_back(owner->first);
        owners_.erase(owner);
      }
      item = retiring_.erase(item);
    } else {
      ++item;
    }
  }
  if (retiring_.empty()) {
    return;
  }
  sweepTimer_.expires_after(kSweepIntervalMs);
  sweepTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      SweepRetiring();
    }
  });
}

std::vector<SessionRow>
TrafficShard::Sessions() const
{
  std::vector<SessionRow> rows;
  rows.reserve(entries_.size());
  for (const auto& [number, entry] : entries_) {
    rows.push_back(
      { number,
        entry->Group(),
        entry->TenantName(),
        entry->Address(),
        entry->Waiting(),
        entry->InTransaction(),
        core::session::GetFloor(entry->Floors(), entry->Group()) });
  }
  return rows;
}

} // namespace wigeonlb::daemon::traffic
