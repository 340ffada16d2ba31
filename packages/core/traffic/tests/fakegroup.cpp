#include "core/traffic/tests/fakegroup.h"

#include <algorithm>
#include <utility>

namespace wigeonlb::core::traffic::tests {

FakeGroup::FakeGroup(const Settings& aSettings,
                     std::size_t aTargets,
                     std::uint32_t aSlots)
  : state_(aSettings)
  , random_(static_cast<std::mt19937::result_type>(aSettings.seed_))
  , slots_(aSlots)
  , settings_(aSettings)
{
  for (std::size_t i = 0; i < aTargets; ++i) {
    targets_.push_back(std::make_unique<FakeTarget>());
    FakeTarget& target = *targets_.back();
    target.name_ = std::string(1, static_cast<char>('a' + i));
    target.dataCentre_ = "centro-" + target.name_;
    target.primary_ = i == 0;
    target.slotFreeAt_.resize(aSlots);
  }
  wire::TermStart start;
  start.set_term(1);
  start.set_primary("a");
  history_.push_back(start);
}

FakeTarget*
FakeGroup::Find(const TargetName& aName)
{
  for (auto& target : targets_) {
    if (target->name_ == aName) {
      return target.get();
    }
  }
  return nullptr;
}

void
FakeGroup::ScheduleAt(Instant aTime, std::function<void()> aCallback)
{
  timers_.emplace(aTime, std::move(aCallback));
}

void
FakeGroup::AddViolation(const std::string& aText)
{
  violations_.push_back(std::to_string((now_ - Instant(100s)).count()) +
                        "us: " + aText);
}

void
FakeGroup::Feed(const TrafficEvent& aEvent)
{
  std::vector<TrafficAction> actions;
  Step(state_, aEvent, now_, actions);
  if (onStep_) {
    onStep_(aEvent, actions);
  }
  for (const auto& action : actions) {
    std::visit([&](const auto& aAlternative) { Act(aAlternative); }, action);
  }
}

void
FakeGroup::SetUp()
{
  Announce();
  Grant(500ms);
  KeepGrant(true);
  Run(50ms);
}

std::string
FakeGroup::Violations() const
{
  std::string text;
  for (const auto& violation : violations_) {
    text += violation + '\n';
  }
  return text;
}

void
FakeGroup::Announce()
{
  GroupChanged event;
  event.noLeaderSinceStart_ = noLeaderSinceStart_;
  event.byOrganisation_ = byOrganisation_;
  event.group_.set_group("group");
  for (const auto& [key, value] : options_) {
    (*event.group_.mutable_options())[key] = value;
  }
  event.group_.set_term(term_);
  event.group_.set_primary(targets_[primary_]->name_);
  for (const auto& start : history_) {
    *event.group_.add_history() = start;
  }
  for (const auto& target : targets_) {
    auto* state = event.group_.add_targets();
    state->set_target(target->name_);
    state->set_address(target->name_ + ":5432");
    state->set_data_centre(target->dataCentre_);
    state->set_slots(slots_);
    state->set_incarnation(1);
    state->set_counted(target->counted_);
    state->set_draining(target->draining_);
    if (target->usable_) {
      event.usable_.push_back(target->name_);
    }
  }
  Feed(event);
}

void
FakeGroup::Grant(Duration aLength, std::uint32_t aShare)
{
  requestedShare_ = aShare;
  if (aLength == Duration::zero()) {
    share_ = settings_.shareWithoutGrant_;
    Feed(GrantChanged{});
    return;
  }
  grantEnds_ = now_ + aLength;
  share_ = aShare;
  if (term_ <= revoked_) {
    share_ = settings_.shareWithoutGrant_;
    grantEnds_ = now_;
    return;
  }
  Feed(GrantChanged{ HeldGrant{
    term_, targets_[primary_]->name_, aShare, grantEnds_, endedHolders_ } });
}

void
FakeGroup::Revoke()
{
  Feed(StopNewWrites{ term_, true, std::nullopt });
  revoked_ = term_;
}

void
FakeGroup::Promote(std::size_t aIndex)
{
  FakeTarget& next = *targets_[aIndex];
  next.log_ = GetReceivedLog(next);
  next.primary_ = true;
  next.term_ = ++term_;
  wire::TermStart start;
  start.set_term(term_);
  start.set_primary(next.name_);
  start.set_start_offset(next.log_.empty() ? 0 : next.log_.back().offset_);
  history_.push_back(start);
  primary_ = aIndex;
  for (auto& other : targets_) {
    if (other->primary_) {
      continue;
    }
    auto log = GetReceivedLog(*other);
    for (const Entry& entry : next.log_) {
      if (log.empty() || entry.offset_ > log.back().offset_) {
        log.push_back(entry);
        log.back().at_ = now_;
      }
    }
    other->receivedEntries_ = std::min(other->receivedEntries_, log.size());
    other->log_ = std::move(log);
    other->term_ = term_;
  }
}

std::optional<std::size_t>
FakeGroup::FindLongest() const
{
  std::optional<std::size_t> best;
  std::size_t available = 0;
  std::pair<std::uint64_t, std::uint64_t> longest;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    const FakeTarget& target = *targets_[i];
    if (target.down_ || target.frozen_ || target.incarnation_ != 1) {
      continue;
    }
    ++available;
    const auto log = GetReceivedLog(target);
    const auto end = log.empty()
                       ? std::pair<std::uint64_t, std::uint64_t>{}
                       : std::pair{ log.back().term_, log.back().offset_ };
    if (!best || end > longest) {
      best = i;
      longest = end;
    }
  }
  const bool hasMajority = available >= targets_.size() / 2 + 1;
  return hasMajority ? best : std::nullopt;
}

std::size_t
FakeGroup::CountUnfinished(const std::set<SessionId>& aClosed) const
{
  return static_cast<std::size_t>(
    std::count_if(requests_.begin(), requests_.end(), [&](const auto& aEntry) {
      return !results_.contains(aEntry.first) &&
             !givenUp_.contains(aEntry.first) &&
             !aClosed.contains(aEntry.first.session_);
    }));
}

void
FakeGroup::Rebuild(std::size_t aIndex, bool aBreaks)
{
  targets_[aIndex]->log_.clear();
  targets_[aIndex]->receivedEntries_ = 0;
  ++targets_[aIndex]->incarnation_;
  if (aBreaks) {
    BreakConnections(aIndex);
  }
}

void
FakeGroup::FreezeConnections(std::size_t aIndex)
{
  targets_[aIndex]->probeUnresponsive_ = true;
  for (auto& [id, link] : links_) {
    link.unresponsive_ |= link.target_ == targets_[aIndex].get();
  }
}

void
FakeGroup::BreakConnections(std::size_t aIndex, bool aRowsForwarded)
{
  std::vector<ConnectionId> broken;
  for (auto& [id, link] : links_) {
    if (link.target_ == targets_[aIndex].get() && link.open_) {
      broken.push_back(id);
    }
  }
  for (const auto id : broken) {
    Link& link = links_.at(id);
    SetIdle(link);
    --link.target_->connections_;
    links_.erase(id);
    Feed(ConnectionClosed{ id, aRowsForwarded });
  }
}

RequestId
FakeGroup::Send(const RequestSpec& aSpec)
{
  const RequestId id{ aSpec.session_, ++lastRequest_[aSpec.session_] };
  SentRequest sentRequest{
    aSpec, now_ + aSpec.deadline_, acknowledged_[aSpec.session_], {}
  };
  sentRequest.floor_ = aSpec.floor_.value_or(floors_[aSpec.session_]);
  sentRequest.transaction_ =
    aSpec.transaction_.value_or(transactions_[aSpec.session_]);
  requests_[id] = sentRequest;
  RequestArrived event;
  event.id_ = id;
  event.tenant_ = aSpec.tenant_;
  event.class_ = aSpec.class_;
  event.floor_ = sentRequest.floor_;
  event.needsFreshFloor_ = aSpec.needsFreshFloor_;
  event.maxAge_ = aSpec.maxAge_;
  event.deadline_ = sentRequest.deadline_;
  if (aSpec.latencyObjective_) {
    event.latencyObjectiveAt_ = now_ + *aSpec.latencyObjective_;
  }
  event.repeatable_ = aSpec.repeatable_;
  event.dataCentre_ = "centro-a";
  event.keyed_ = !aSpec.key_.empty();
  if (numbersTransactions_) {
    event.inTransaction_ = sentRequest.transaction_ != 0;
    event.transaction_ = sentRequest.transaction_;
  }
  Feed(event);
  return id;
}

void
FakeGroup::Deliver(const RequestArrived& aEvent)
{
  const SessionId session = aEvent.id_.session_;
  lastRequest_[session] = std::max(lastRequest_[session], aEvent.id_.request_);
  if (transactions_[session] != aEvent.transaction_) {
    GiveUp(session);
    transactions_[session] = aEvent.transaction_.value_or(0);
  }
  SentRequest& request = requests_[aEvent.id_];
  request.spec_.session_ = session;
  request.spec_.class_ = aEvent.class_;
  request.deadline_ = aEvent.deadline_;
  request.transaction_ = aEvent.transaction_.value_or(0);
  Feed(aEvent);
}

void
FakeGroup::GiveUp(SessionId aSession)
{
  const RequestId last{ aSession, lastRequest_[aSession] };
  if (!results_.contains(last)) {
    givenUp_.insert(last);
  }
  status_[aSession] = 'I';
  transactions_[aSession] = 0;
  inTransaction_[aSession].clear();
}

void
FakeGroup::Run(Duration aLength)
{
  const Instant end = now_ + aLength;
  while (true) {
    const Instant wake = std::max(NextWake(state_), now_ + 1us);
    const Instant next =
      timers_.empty() ? wake : std::min(wake, timers_.begin()->first);
    if (next > end) {
      break;
    }
    now_ = std::max(now_, next);
    if (keepGrant_ && grantEnds_ - now_ < 400ms) {
      Grant(500ms, requestedShare_);
    }
    if (!timers_.empty() && timers_.begin()->first <= now_) {
      auto callback = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      callback();
    }
    if (NextWake(state_) <= now_) {
      ++ticks_;
      Feed(Tick{});
    }
  }
  now_ = end;
}

Finish
FakeGroup::Do(const RequestSpec& aSpec)
{
  const RequestId id = Send(aSpec);
  const Instant limit = now_ + aSpec.deadline_ + 1s;
  while (!results_.contains(id) && now_ < limit) {
    Run(500us);
  }
  return results_.contains(id) ? results_.at(id).finish_ : Finish{};
}

std::vector<Entry>
FakeGroup::GetReceivedLog(const FakeTarget& aTarget) const
{
  if (aTarget.primary_) {
    return aTarget.log_;
  }
  // Received entries stay received when the lag grows.
  while (aTarget.receivedEntries_ < aTarget.log_.size() &&
         aTarget.log_[aTarget.receivedEntries_].at_ + aTarget.lag_ <= now_) {
    everStored_[aTarget.log_[aTarget.receivedEntries_].write_].insert(
      aTarget.name_);
    ++aTarget.receivedEntries_;
  }
  return { aTarget.log_.begin(),
           aTarget.log_.begin() +
             static_cast<std::ptrdiff_t>(aTarget.receivedEntries_) };
}

std::vector<Entry>
FakeGroup::GetAppliedLog(const FakeTarget& aTarget) const
{
  auto log = GetReceivedLog(aTarget);
  if (aTarget.primary_) {
    return log;
  }
  const Duration lag = aTarget.lag_ + aTarget.applyLag_;
  while (aTarget.applyLag_ > 0ms && !log.empty() &&
         log.back().at_ + lag > now_) {
    log.pop_back();
  }
  return log;
}

bool
FakeGroup::CouldReplicaServe(SessionId aSession) const
{
  const auto floor = floors_.find(aSession);
  const std::uint64_t offset =
    floor == floors_.end() ? 0 : floor->second.offset_;
  return std::any_of(
    targets_.begin(), targets_.end(), [&](const auto& aTarget) {
      const auto log = GetAppliedLog(*aTarget);
      return !aTarget->primary_ &&
             (log.empty() ? 0 : log.back().offset_) >= offset;
    });
}

const Entry*
FakeGroup::FindKey(const std::string& aKey) const
{
  const auto& log = targets_[primary_]->log_;
  const auto found = std::ranges::find(log, aKey, &Entry::key_);
  return aKey.empty() || found == log.end() ? nullptr : &*found;
}

void
FakeGroup::CheckDone(const RequestId& aId, const Finish& aFinish)
{
  const SentRequest& sentRequest = requests_.at(aId);
  if (aFinish.position_.term_ > 0) {
    auto& floor = floors_[aId.session_];
    floor = std::max(floor, aFinish.position_);
  }
  const bool write = sentRequest.spec_.class_ == wire::STATEMENT_WRITE ||
                     sentRequest.spec_.writes_;
  auto& open = inTransaction_[aId.session_];
  if (sentRequest.spec_.class_ == wire::STATEMENT_ROLLBACK) {
    open.clear();
  }
  if (write && aFinish.transactionStatus_ == 'T') {
    open.push_back(aId);
    return;
  }
  std::vector<RequestId> acknowledged;
  if (const Entry* first = FindKey(sentRequest.spec_.key_)) {
    acknowledged = { first->write_ };
  } else if (write) {
    acknowledged = { aId };
  } else if (sentRequest.spec_.class_ == wire::STATEMENT_COMMIT) {
    acknowledged = std::exchange(open, {});
  }
  for (const auto& id : acknowledged) {
    for (const auto& target : targets_) {
      GetReceivedLog(*target);
    }
    if (everStored_[id].size() < targets_.size() / 2 + 1) {
      AddViolation("acknowledged without a majority: session " +
                   std::to_string(id.session_) + " class " +
                   std::to_string(sentRequest.spec_.class_) + " at " +
                   foundation::ToString(aFinish.position_));
    }
    if (now_ >= grantEnds_) {
      AddViolation("acknowledged without a grant");
    }
    acknowledged_[aId.session_].insert(id);
  }
}

void
FakeGroup::Act(const Finish& aAction)
{
  const RequestId& id = aAction.request_;
  if (results_.contains(id)) {
    AddViolation("finished twice");
  }
  if (aAction.outcome_ == wire::OUTCOME_NOT_RUN && timesSent_[id] > 0) {
    AddViolation("not run, but it was sent to a target: class " +
                 std::to_string(requests_.at(id).spec_.class_) + " " +
                 aAction.message_);
  }
  if (now_ > requests_.at(id).deadline_) {
    AddViolation("finished after its deadline: " + aAction.message_);
  }
  results_[id] = { now_, aAction };
  if (givenUp_.contains(id)) {
    return; // the entry host ignores it
  }
  const char before =
    std::exchange(status_[id.session_], aAction.transactionStatus_);
  std::uint64_t& transaction = transactions_[id.session_];
  if (aAction.transactionStatus_ == 'I') {
    transaction = 0;
  } else if (transaction == 0) {
    transaction = id.request_;
  }
  // A COMMIT without a transaction to end gets the response of a ROLLBACK.
  if (aAction.outcome_ == wire::OUTCOME_DONE && !aAction.passTargetAnswer_) {
    if (before == 'T' &&
        requests_.at(id).spec_.class_ == wire::STATEMENT_COMMIT) {
      AddViolation("a lost transaction was hidden");
    }
    inTransaction_[id.session_].clear();
  }
  if (aAction.outcome_ != wire::OUTCOME_DONE &&
      aAction.transactionStatus_ == 'I') {
    inTransaction_[id.session_].clear();
  }
  if (aAction.outcome_ == wire::OUTCOME_DONE) {
    CheckDone(id, aAction);
  }
}

void
FakeGroup::Act(const TermReleased& aAction)
{
  released_ = aAction.term_.term_;
}

} // namespace wigeonlb::core::traffic::tests
