#include "traffic/ownedsessions.h"

#include <algorithm>

namespace wigeonlb::daemon::traffic {

OwnedSession&
OwnedSessions::GetOrCreate(const SessionKey& aKey)
{
  const auto [found, added] = sessions_.try_emplace(aKey);
  if (added) {
    found->second.key_ = aKey;
    found->second.id_ = nextId_++;
    keys_.emplace(found->second.id_, aKey);
  }
  return found->second;
}

OwnedSession*
OwnedSessions::Find(const SessionKey& aKey)
{
  const auto found = sessions_.find(aKey);
  return found == sessions_.end() ? nullptr : &found->second;
}

OwnedSession*
OwnedSessions::FindRunning(const core::traffic::RequestId& aRequest)
{
  const auto key = keys_.find(aRequest.session_);
  if (key == keys_.end()) {
    return nullptr;
  }
  OwnedSession& session = sessions_.at(key->second);
  const bool runs =
    session.running_ && session.request_.request() == aRequest.request_;
  return runs ? &session : nullptr;
}

void
OwnedSessions::Erase(const SessionKey& aKey)
{
  const auto found = sessions_.find(aKey);
  if (found != sessions_.end()) {
    keys_.erase(found->second.id_);
    sessions_.erase(found);
  }
}

void
OwnedSessions::OnUsed(OwnedSession& aSession, foundation::Instant aNow)
{
  aSession.idleHook_.unlink();
  aSession.lastUsedAt_ = aNow;
  if (!aSession.running_ && aSession.transaction_ == 0) {
    idle_.push_back(aSession);
  }
  while (!idle_.empty() &&
         aNow - idle_.front().lastUsedAt_ > kIdleSessionLifetimeMs) {
    Erase(SessionKey(idle_.front().key_));
  }
}

bool
OwnedSessions::Close(OwnedSession& aSession,
                     std::uint64_t aRequest,
                     foundation::Instant aNow)
{
  const std::uint64_t last = aSession.request_.request();
  if (aRequest != 0 && aRequest < last) {
    return false;
  }
  aSession.request_.Clear();
  aSession.request_.set_request(std::max(aRequest, last));
  aSession.running_ = false;
  aSession.transaction_ = 0;
  OnUsed(aSession, aNow);
  return true;
}

std::vector<SessionKey>
OwnedSessions::FindKeys(const foundation::HostId& aHost,
                        std::uint64_t aKeepBoot) const
{
  std::vector<SessionKey> keys;
  for (const auto& [key, session] : sessions_) {
    if (std::get<0>(key) == aHost && std::get<1>(key) != aKeepBoot) {
      keys.push_back(key);
    }
  }
  return keys;
}

std::vector<SessionKey>
OwnedSessions::FindUsedKeys(const foundation::HostId& aHost) const
{
  std::vector<SessionKey> keys;
  for (const auto& [key, session] : sessions_) {
    const bool used = session.running_ || session.transaction_ != 0;
    if (std::get<0>(key) == aHost && used) {
      keys.push_back(key);
    }
  }
  return keys;
}

bool
OwnedSessions::ContinuesTransaction(const SessionKey& aKey,
                                    const wire::ForwardRequest& aRequest) const
{
  const auto found = sessions_.find(aKey);
  if (found == sessions_.end() || found->second.transaction_ == 0) {
    return false;
  }
  return !aRequest.has_transaction() ||
         aRequest.transaction() == found->second.transaction_;
}

std::size_t
OwnedSessions::RunningCount() const
{
  return static_cast<std::size_t>(
    std::count_if(sessions_.begin(), sessions_.end(), [](const auto& aItem) {
      return aItem.second.running_ || aItem.second.transaction_ != 0;
    }));
}

bool
BeginRequest(OwnedSession& aSession, wire::ForwardRequest&& aRequest)
{
  if (aRequest.request() <= aSession.request_.request()) {
    return false;
  }
  aSession.request_ = std::move(aRequest);
  aSession.arrivedAt_ = foundation::SteadyNow();
  aSession.running_ = true;
  aSession.heldEnd_.clear();
  aSession.passedBytes_ = 0;
  aSession.consumedBytes_ = 0;
  aSession.nextPiece_ = 0;
  aSession.pausedConnection_ = 0;
  return true;
}

void
EndRequest(OwnedSession& aSession, char aTransactionStatus)
{
  const wire::ForwardRequest& request = aSession.request_;
  aSession.running_ = false;
  if (aTransactionStatus == 'I') {
    aSession.transaction_ = 0;
  } else if (request.transaction() != 0) {
    aSession.transaction_ = request.transaction();
  } else if (aSession.transaction_ == 0 || request.has_transaction()) {
    aSession.transaction_ = request.request();
  }
}

core::traffic::RequestArrived
MakeArrival(const OwnedSession& aSession, foundation::Instant aNow)
{
  const wire::ForwardRequest& request = aSession.request_;
  core::traffic::RequestArrived arrived;
  arrived.id_ = { aSession.id_, request.request() };
  arrived.tenant_ = request.tenant();
  arrived.class_ = request.statement_class();
  arrived.statementBytes_ = request.statement().size();
  arrived.floor_ = { request.floor().term(), request.floor().offset() };
  arrived.needsFreshFloor_ = request.needs_fresh_floor();
  if (request.has_max_age_us()) {
    arrived.maxAge_ = foundation::Duration(request.max_age_us());
  }
  arrived.deadline_ = aNow + foundation::Duration(request.deadline_us());
  if (request.aim_us() != 0 && request.aim_us() < request.deadline_us()) {
    arrived.latencyObjectiveAt_ = aNow + foundation::Duration(request.aim_us());
  }
  arrived.priority_ = request.priority();
  arrived.repeatable_ = request.repeatable();
  arrived.inTransaction_ = request.in_transaction();
  if (request.has_transaction()) {
    arrived.transaction_ = request.transaction();
  }
  arrived.keyed_ = !request.request_key().empty();
  arrived.dataCentre_ = request.data_centre();
  return arrived;
}

wire::ForwardEnd
MakeEnd(OwnedSession& aSession, const core::traffic::Finish& aFinish)
{
  wire::ForwardEnd end;
  if (aFinish.passTargetAnswer_) {
    end.set_last_frames(std::move(aSession.heldEnd_));
  }
  aSession.heldEnd_.clear();
  end.set_session(aSession.request_.session());
  end.set_boot(std::get<1>(aSession.key_));
  end.set_request(aFinish.request_.request_);
  end.set_outcome(aFinish.outcome_);
  end.set_sqlstate(aFinish.sqlstate_);
  end.set_message(aFinish.message_);
  end.set_not_owner(aFinish.tryAnotherOwner_);
  end.set_target_answered(aFinish.passTargetAnswer_);
  end.set_pieces(aSession.nextPiece_);
  end.set_retry_after_us(
    static_cast<std::uint64_t>(aFinish.retryAfter_.count()));
  if (aFinish.position_.term_ != 0) {
    end.mutable_position()->set_term(aFinish.position_.term_);
    end.mutable_position()->set_offset(aFinish.position_.offset_);
  }
  end.set_transaction_status(std::string(1, aFinish.transactionStatus_));
  end.set_served_by(aFinish.servedBy_);
  end.set_by_replica(aFinish.byReplica_);
  return end;
}

} // namespace wigeonlb::daemon::traffic
