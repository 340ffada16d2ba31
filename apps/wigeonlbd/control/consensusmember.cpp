#include "control/consensusmember.h"

#include "foundation/logging.h"
#include "storage/storageerrors.h"

namespace wigeonlb::daemon::control {

namespace consensus = core::consensus;
using foundation::SteadyNow;

namespace {

//! Interval of the attempts to use the data folder again after a storage error,
//! such as a full disk.
constexpr foundation::Duration kStorageRetryMs =
  std::chrono::milliseconds(1000);

} // namespace

ConsensusMember::ConsensusMember(storage::DataFolder& aFolder,
                                 MemberCallbacks aCallbacks)
  : callbacks_(std::move(aCallbacks))
  , folder_(aFolder)
{
}

std::error_code
ConsensusMember::Start(const consensus::ConsensusSettings& aSettings,
                       foundation::Findings& aFindings)
{
  settings_ = aSettings;
  const foundation::Instant now = SteadyNow();
  storage::MemberImage image;
  const std::error_code error =
    storage::Load(folder_, store_, image, aFindings);
  if (storage::IsDamage(error)) {
    return error;
  }
  if (error) {
    StartFailed(error, now);
    return {};
  }
  control_ = image.snapshot_.state();
  state_ = consensus::MakeConsensusState(
    aSettings, image.hardState_, image.snapshot_, image.entries_, now);
  return {};
}

void
ConsensusMember::StartFailed(std::error_code aError, foundation::Instant aNow)
{
  foundation::LogWarning(
    "control",
    "storage-failed",
    { { "what", "start" }, { "error", aError.message() } });
  recoverAt_ = aNow + kStorageRetryMs;
  state_ = consensus::MakeConsensusState(
    settings_, wire::HardState(), wire::MemberSnapshot(), {}, aNow);
  // Nobody has heard of another role, so the actions are of no use.
  std::vector<consensus::Action> actions;
  consensus::Step(state_, consensus::StorageFailed{}, aNow, actions);
}

void
ConsensusMember::RecoverStorage()
{
  const foundation::Instant now = SteadyNow();
  if (state_.role_ != consensus::Role::Failed || now < recoverAt_) {
    return;
  }
  recoverAt_ = now + kStorageRetryMs;
  foundation::Findings findings;
  storage::MemberImage image;
  if (const std::error_code error =
        storage::Reload(folder_, store_, image, findings)) {
    foundation::LogWarning("control",
                           "storage-unusable",
                           { { "error", error.message() },
                             { "found", foundation::ToString(findings) } });
    return;
  }
  control_ = image.snapshot_.state();
  appliedTerm_ = image.snapshot_.last_term();
  state_ = consensus::MakeConsensusState(
    settings_, image.hardState_, image.snapshot_, image.entries_, now);
  foundation::LogChange(
    "control",
    "storage-recovered",
    { { "term", std::to_string(state_.hardState_.term()) },
      { "last", std::to_string(consensus::LastIndex(state_.log_)) } });
  if (stopping_) {
    followUps_.emplace_back(consensus::Resign{});
  }
  callbacks_.replaced_();
}

foundation::Instant
ConsensusMember::NextDue() const
{
  return state_.role_ == consensus::Role::Failed ? recoverAt_
                                                 : consensus::NextDue(state_);
}

void
ConsensusMember::Feed(const consensus::Event& aEvent)
{
  if (std::holds_alternative<consensus::Tick>(aEvent)) {
    RecoverStorage();
  }
  stopping_ |= std::holds_alternative<consensus::Resign>(aEvent);
  std::vector<consensus::Event> events{ aEvent };
  while (!events.empty()) {
    for (const consensus::Event& event : events) {
      std::vector<consensus::Action> actions;
      consensus::Step(state_, event, SteadyNow(), actions);
      for (const consensus::Action& action : actions) {
        const bool done = std::visit(
          [this](const auto& aAction) { return Execute(aAction); }, action);
        if (!done) {
          break;
        }
      }
    }
    events.clear();
    events.swap(followUps_);
  }
}

bool
ConsensusMember::IsLeading() const
{
  return consensus::IsLeader(state_);
}

bool
ConsensusMember::HoldsLease() const
{
  return consensus::HoldsLease(state_, SteadyNow());
}

bool
ConsensusMember::IsReady() const
{
  return IsLeading() && appliedTerm_ == state_.hardState_.term();
}

bool
ConsensusMember::Check(std::error_code aError, std::string_view aWhat)
{
  if (!aError) {
    return true;
  }
  foundation::LogWarning(
    "control",
    "storage-failed",
    { { "what", std::string(aWhat) }, { "error", aError.message() } });
  recoverAt_ = SteadyNow() + kStorageRetryMs;
  followUps_.emplace_back(consensus::StorageFailed{});
  return false;
}

bool
ConsensusMember::Execute(const consensus::Persist& aAction)
{
  return Check(
    storage::Save(
      store_, aAction.hardState_, aAction.truncateFrom_, aAction.entries_),
    "log");
}

bool
ConsensusMember::Execute(const consensus::SendMessage& aAction)
{
  callbacks_.send_(aAction.message_);
  return true;
}

bool
ConsensusMember::Execute(const consensus::Apply& aAction)
{
  if (callbacks_.applying_) {
    callbacks_.applying_(aAction.entry_);
  }
  if (appliedTerm_ != aAction.entry_.term()) {
    appliedTerm_ = aAction.entry_.term();
    firstIndexOfTerm_ = aAction.entry_.index();
  }
  const core::configuration::ApplyResult result =
    core::configuration::ApplyRecord(
      control_, aAction.entry_.record(), aAction.entry_.index());
  callbacks_.applied_(aAction.entry_.index(), result);
  return true;
}

bool
ConsensusMember::Execute(const consensus::TakeSnapshot& aAction)
{
  wire::MemberSnapshot snapshot;
  snapshot.set_last_index(aAction.lastIndex_);
  snapshot.set_last_term(aAction.lastTerm_);
  *snapshot.mutable_members() = aAction.members_;
  *snapshot.mutable_state() = control_;
  std::vector<wire::ConsensusEntry> tail;
  for (const wire::ConsensusEntry& entry : state_.log_.entries_) {
    if (entry.index() > aAction.lastIndex_) {
      tail.push_back(entry);
    }
  }
  if (!Check(storage::SaveSnapshot(store_, snapshot, tail), "snapshot")) {
    return false;
  }
  followUps_.emplace_back(consensus::SnapshotSaved{ std::move(snapshot) });
  return true;
}

bool
ConsensusMember::Execute(const consensus::InstallSnapshot& aAction)
{
  if (!Check(
        storage::InstallSnapshot(store_, aAction.hardState_, aAction.snapshot_),
        "received snapshot")) {
    return false;
  }
  control_ = aAction.snapshot_.state();
  appliedTerm_ = aAction.snapshot_.last_term();
  callbacks_.replaced_();
  return true;
}

bool
ConsensusMember::Execute(const consensus::LeadershipChanged& aAction)
{
  callbacks_.leadership_(aAction);
  return true;
}

bool
ConsensusMember::Execute(const consensus::ProposalDecided& aAction)
{
  callbacks_.decided_(aAction);
  return true;
}

} // namespace wigeonlb::daemon::control
