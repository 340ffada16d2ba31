// The parts of FakeGroup that execute the core's actions: a simulated driver
// and its database servers.
#include "core/traffic/tests/fakegroup.h"

#include <algorithm>

namespace wigeonlb::core::traffic::tests {

namespace {

// SQLSTATE of a write that the target rejects as read-only.
constexpr std::string_view kReadOnly = "25006";

constexpr std::uint64_t kEntryBytes = 100;

} // namespace

void
FakeGroup::Append(FakeTarget& aPrimary,
                  const RequestId& aWrite,
                  const std::string& aKey)
{
  const std::uint64_t end =
    aPrimary.log_.empty() ? 0 : aPrimary.log_.back().offset_;
  const Entry entry{ now_, aPrimary.term_, end + kEntryBytes, aWrite, aKey };
  everStored_[aWrite].insert(aPrimary.name_);
  aPrimary.log_.push_back(entry);
  for (auto& other : targets_) {
    if (!other->primary_ && other->term_ == aPrimary.term_ &&
        (other->log_.empty() ? 0 : other->log_.back().offset_) == end) {
      other->log_.push_back(entry);
    }
  }
}

bool
FakeGroup::IsKeyKnown(const FakeTarget& aTarget, const std::string& aKey) const
{
  return !aKey.empty() && std::ranges::find(aTarget.log_, aKey, &Entry::key_) !=
                            aTarget.log_.end();
}

wire::TargetReport
FakeGroup::MakeReport(const FakeTarget& aTarget) const
{
  const auto applied = GetAppliedLog(aTarget);
  const auto visible = GetReceivedLog(aTarget);
  const std::uint64_t offset = visible.empty() ? 0 : visible.back().offset_;
  wire::TargetReport report;
  report.set_reachable(true);
  report.set_primary(aTarget.primary_);
  report.set_adopted_term(aTarget.term_);
  report.set_synced_offset(offset);
  report.set_applied_offset(applied.empty() ? 0 : applied.back().offset_);
  report.set_incarnation(aTarget.incarnation_);
  return report;
}

void
FakeGroup::Act(const OpenConnection& aAction)
{
  FakeTarget& target = *Find(aAction.target_);
  links_[aAction.connection_].target_ = &target;
  links_[aAction.connection_].organisation_ = aAction.organisation_;
  ++opened_;
  const std::uint32_t share =
    now_ < grantEnds_ ? share_ : settings_.shareWithoutGrant_;
  if (++target.connections_ > share) {
    AddViolation("connections over the share at " + target.name_ + ": " +
                 std::to_string(target.connections_) + " of " +
                 std::to_string(share));
  }
  const ConnectionId id = aAction.connection_;
  ScheduleAt(now_ + openCost_, [this, id] {
    const auto found = links_.find(id);
    if (found == links_.end() || found->second.target_->frozen_) {
      return;
    }
    if (found->second.target_->down_) {
      --found->second.target_->connections_;
      links_.erase(found);
      Feed(ConnectionFailed{ id });
      return;
    }
    found->second.open_ = true;
    Feed(ConnectionOpened{ id, static_cast<BackendId>(id) });
  });
}

void
FakeGroup::SetIdle(Link& aLink)
{
  if (aLink.busy_) {
    aLink.busy_ = false;
    --aLink.target_->running_;
  }
}

void
FakeGroup::Act(const CloseConnection& aAction)
{
  const auto found = links_.find(aAction.connection_);
  if (found == links_.end()) {
    AddViolation("closed a connection that does not exist");
    return;
  }
  // A statement that was sent may still run on the target.
  Link& link = found->second;
  const bool runs = link.busy_ && !link.current_.done_ && !link.unresponsive_ &&
                    !link.target_->frozen_ && !link.inTransaction_;
  if (runs && random_() % 2 == 0 &&
      requests_.contains(link.current_.request_)) {
    RunStatement(link, requests_.at(link.current_.request_));
  }
  SetIdle(link);
  --link.target_->connections_;
  links_.erase(found);
}

void
FakeGroup::Act(const SendStatement& aAction)
{
  Link& link = links_.at(aAction.connection_);
  if (link.busy_) {
    AddViolation("a statement on a busy connection");
  }
  link.busy_ = true;
  ++link.target_->running_;
  const auto usedSlots =
    std::count_if(links_.begin(), links_.end(), [&](const auto& aEntry) {
      return aEntry.second.target_ == link.target_ &&
             (aEntry.second.busy_ || aEntry.second.inTransaction_);
    });
  if (static_cast<std::size_t>(usedSlots) > slots_) {
    AddViolation("more statements than slots at " + link.target_->name_);
  }
  const SentRequest& sentRequest = requests_.at(aAction.request_);
  if (byOrganisation_ && link.organisation_ != sentRequest.spec_.tenant_) {
    AddViolation("a statement on a connection of another organisation");
  }
  const int times = ++timesSent_[aAction.request_];
  const bool unsafe = !sentRequest.spec_.repeatable_ &&
                      !sentRequest.spec_.writes_ &&
                      sentRequest.spec_.class_ != wire::STATEMENT_READ;
  if (times > 1 && unsafe) {
    AddViolation("an unsafe statement was sent twice");
  }
  link.current_ = { aAction.request_,
                    aAction.readOnly_,
                    aAction.checkHasWritten_ };
  const std::uint64_t statement = ++link.statement_;
  const ConnectionId id = aAction.connection_;
  FakeTarget& target = *link.target_;
  auto slot =
    std::min_element(target.slotFreeAt_.begin(), target.slotFreeAt_.end());
  const Instant start = std::max(now_ + target.roundTrip_ / 2, *slot);
  const Duration service =
    target.service_ + (target.jitter_ > 0ms
                         ? Duration(static_cast<Duration::rep>(random_()) %
                                    target.jitter_.count())
                         : 0ms);
  *slot = start + service;
  if (aAction.withProbe_) {
    ScheduleAt(start, [this, id, statement] {
      const auto found = links_.find(id);
      if (found == links_.end() || found->second.statement_ != statement ||
          found->second.unresponsive_ || found->second.target_->frozen_) {
        return;
      }
      found->second.visibleWrites_.clear();
      for (const Entry& entry : GetAppliedLog(*found->second.target_)) {
        found->second.visibleWrites_.insert(entry.write_);
      }
      const auto report = MakeReport(*found->second.target_);
      ScheduleAt(now_ + found->second.target_->roundTrip_ / 2,
                 [this, id, report] {
                   Feed(ReadProbeAnswered{ id, report });
                 });
    });
  }
  ScheduleAt(start + service,
             [this, id, statement] { Execute(id, statement); });
}

void
FakeGroup::CheckTransaction(const Link& aLink, const SentRequest& aSentRequest)
{
  const SessionId session = aLink.current_.request_.session_;
  const RequestId open = aLink.inTransaction_ ? aLink.begin_ : RequestId{};
  const std::uint64_t expected = aSentRequest.transaction_;
  if (open != (expected == 0 ? RequestId{} : RequestId{ session, expected })) {
    AddViolation("a statement of session " + std::to_string(session) +
                 " and transaction " + std::to_string(expected) +
                 " ran in transaction " + std::to_string(open.request_) +
                 " of session " + std::to_string(open.session_));
  }
}

std::string
FakeGroup::RunStatement(Link& aLink, const SentRequest& aSentRequest)
{
  const auto statementClass = aSentRequest.spec_.class_;
  const RequestId& id = aLink.current_.request_;
  CheckTransaction(aLink, aSentRequest);
  const bool writes =
    statementClass == wire::STATEMENT_WRITE || aSentRequest.spec_.writes_;
  if (writes && (!aLink.target_->primary_ || aLink.current_.readOnly_)) {
    --timesSent_[id];
    return std::string(kReadOnly);
  }
  if (IsKeyKnown(*aLink.target_, aSentRequest.spec_.key_)) {
    aLink.current_.alreadyDone_ = true;
    return "";
  }
  if (aLink.current_.checkHasWritten_) {
    aLink.current_.wrote_ = !aLink.pendingWrites_.empty();
  }
  if (statementClass == wire::STATEMENT_BEGIN) {
    aLink.begin_ = aLink.inTransaction_ ? aLink.begin_ : id;
    aLink.inTransaction_ = true;
    aLink.pendingKey_ = aSentRequest.spec_.key_;
    if (!aSentRequest.spec_.key_.empty()) {
      aLink.pendingWrites_.push_back(id);
    }
  } else if (statementClass == wire::STATEMENT_COMMIT) {
    for (const auto& write : aLink.pendingWrites_) {
      Append(*aLink.target_, write, aLink.pendingKey_);
    }
  } else if (writes && aLink.inTransaction_) {
    aLink.pendingWrites_.push_back(id);
  } else if (writes) {
    Append(*aLink.target_, id, aSentRequest.spec_.key_);
  }
  if (statementClass == wire::STATEMENT_COMMIT ||
      statementClass == wire::STATEMENT_ROLLBACK) {
    aLink.inTransaction_ = false;
    aLink.pendingWrites_.clear();
  }
  return "";
}

void
FakeGroup::Execute(ConnectionId aId, std::uint64_t aStatement)
{
  const auto found = links_.find(aId);
  if (found == links_.end() || found->second.statement_ != aStatement ||
      found->second.unresponsive_ || found->second.target_->frozen_) {
    return;
  }
  Link& link = found->second;
  link.current_.done_ = true;
  const auto error = RunStatement(link, requests_.at(link.current_.request_));
  ScheduleAt(
    now_ + link.target_->roundTrip_ / 2,
    [this, aId, aStatement, error] { Answer(aId, aStatement, error); });
}

void
FakeGroup::Answer(ConnectionId aId,
                  std::uint64_t aStatement,
                  std::string aError)
{
  const auto found = links_.find(aId);
  if (found == links_.end() || found->second.statement_ != aStatement ||
      found->second.unresponsive_ || found->second.target_->frozen_) {
    return;
  }
  Link& link = found->second;
  SetIdle(link);
  StatementFinished event;
  event.connection_ = aId;
  event.refusal_ = aError == kReadOnly ? Refusal::ReadOnly : Refusal::None;
  event.sqlstate_ = std::move(aError);
  event.transactionStatus_ = link.inTransaction_ ? 'T' : 'I';
  event.wrote_ = link.current_.wrote_;
  event.alreadyDone_ = link.current_.alreadyDone_;
  Feed(event);
}

void
FakeGroup::Act(const AcceptAnswer& aAction)
{
  const Link& link = links_.at(aAction.connection_);
  readAt_[aAction.request_] = link.target_->name_;
  for (const auto& write : requests_.at(aAction.request_).requiredWrites_) {
    if (!link.visibleWrites_.contains(write)) {
      AddViolation("a read at " + link.target_->name_ +
                   " misses a write of term " + std::to_string(term_) +
                   " floor " +
                   foundation::ToString(requests_.at(aAction.request_).floor_));
      return;
    }
  }
}

void
FakeGroup::Act(const DropAnswer&)
{
}

void
FakeGroup::Act(const ReadCommitPosition& aAction)
{
  const ConnectionId id = aAction.connection_;
  Link& link = links_.at(id);
  if (!link.busy_) {
    link.busy_ = true;
    ++link.target_->running_;
  }
  const std::uint64_t statement = ++link.statement_;
  ScheduleAt(now_ + link.target_->roundTrip_, [this, id, statement] {
    const auto found = links_.find(id);
    if (found == links_.end() || found->second.statement_ != statement ||
        found->second.unresponsive_ || found->second.target_->frozen_) {
      return;
    }
    SetIdle(found->second);
    const auto report = MakeReport(*found->second.target_);
    Feed(CommitPositionRead{ id,
                             { report.adopted_term(), report.synced_offset() },
                             report.incarnation() });
  });
}

void
FakeGroup::Act(const SendProbe& aAction)
{
  FakeTarget* target = Find(aAction.target_);
  ProbeAnswered answer{ aAction.target_, aAction.sequence_, std::nullopt };
  const SessionTerminations& terminations = aAction.terminations_;
  ScheduleAt(now_ + target->roundTrip_ / 2,
             [this, target, answer, terminations]() mutable {
               if (target->frozen_ || target->probeUnresponsive_) {
                 return;
               }
               if (!target->down_) {
                 answer.report_ = MakeReport(*target);
                 target->terminatedSessions_.insert(
                   terminations.backends_.begin(),
                   terminations.backends_.end());
                 if (!terminations.names_.empty()) {
                   target->holderTerminations_.emplace_back(now_, terminations);
                 }
               }
               ScheduleAt(now_ + target->roundTrip_ / 2,
                          [this, answer] { Feed(answer); });
             });
}

void
FakeGroup::Act(const ResetProbe& aAction)
{
  Find(aAction.target_)->probeUnresponsive_ = false;
}

void
FakeGroup::Act(const CancelOnTarget& aAction)
{
  const auto found = links_.find(aAction.connection_);
  if (found == links_.end()) {
    return;
  }
  const ConnectionId id = aAction.connection_;
  const std::uint64_t statement = found->second.statement_;
  ScheduleAt(now_ + found->second.target_->roundTrip_ / 2,
             [this, id, statement] {
               const auto stillOpen = links_.find(id);
               if (stillOpen != links_.end() && stillOpen->second.busy_ &&
                   stillOpen->second.statement_ == statement &&
                   !stillOpen->second.current_.done_) {
                 stillOpen->second.current_.done_ = true;
                 ++stillOpen->second.statement_;
                 Answer(id, stillOpen->second.statement_, "57014");
               }
             });
}

} // namespace wigeonlb::core::traffic::tests
