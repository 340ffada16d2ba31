#pragma once

#include <functional>
#include <string>

#include "core/configuration/applyrecord.h"
#include "core/consensus/consensus.h"
#include "storage/memberstore.h"

namespace wigeonlb::daemon::control {

//! Notifications to the control runtime; called from within Feed.
struct MemberCallbacks
{
  std::function<void(const wire::ConsensusMessage&)> send_;
  //! A committed entry is about to be applied; may be empty.
  std::function<void(const wire::ConsensusEntry&)> applying_;
  //! A committed entry was applied to the control state.
  std::function<void(std::uint64_t, const core::configuration::ApplyResult&)>
    applied_;
  //! The whole control state was replaced by a snapshot.
  std::function<void()> replaced_;
  std::function<void(const core::consensus::LeadershipChanged&)> leadership_;
  std::function<void(const core::consensus::ProposalDecided&)> decided_;
};

//! Runs one control member: its consensus state, its data folder and the
//! control state that results from its log. Used on the control thread.
class ConsensusMember
{
public:
  ConsensusMember(storage::DataFolder& aFolder, MemberCallbacks aCallbacks);

  //! Loads the data folder. Returns an error, with findings, if the data is
  //! damaged; the member must not participate in consensus then. If the disk
  //! refuses to be read or synced, the member starts as failed and tries again.
  std::error_code Start(const core::consensus::ConsensusSettings& aSettings,
                        foundation::Findings& aFindings);

  void Feed(const core::consensus::Event& aEvent);

  //! When the next Tick is due.
  foundation::Instant NextDue() const;

  const wire::ControlState& Control() const { return control_; }
  const core::consensus::ConsensusState& Consensus() const { return state_; }
  bool IsLeading() const;
  //! True while this member's lease guarantees that no other member leads.
  bool HoldsLease() const;
  //! True if this member leads and has applied all entries that earlier leaders
  //! committed.
  bool IsReady() const;
  //! Log index of the first applied entry of the last applied entry's term.
  std::uint64_t FirstIndexOfTerm() const { return firstIndexOfTerm_; }

private:
  //! Returns false if storage failed; the actions that follow are skipped then.
  bool Execute(const core::consensus::Persist& aAction);
  bool Execute(const core::consensus::SendMessage& aAction);
  bool Execute(const core::consensus::Apply& aAction);
  bool Execute(const core::consensus::TakeSnapshot& aAction);
  bool Execute(const core::consensus::InstallSnapshot& aAction);
  bool Execute(const core::consensus::LeadershipChanged& aAction);
  bool Execute(const core::consensus::ProposalDecided& aAction);
  //! Logs a storage error and passes it to the consensus logic. Returns true if
  //! there was no error.
  bool Check(std::error_code aError, std::string_view aWhat);

  //! Starts the member as failed, so that the folder is read again later.
  void StartFailed(std::error_code aError, foundation::Instant aNow);

  //! Reads the data folder again after a storage error, and starts the member
  //! from what it holds, as after a restart of the process.
  void RecoverStorage();

  MemberCallbacks callbacks_;
  core::consensus::ConsensusSettings settings_;
  foundation::Instant recoverAt_; //!< after a storage error
  storage::DataFolder& folder_;
  storage::MemberStore store_;
  core::consensus::ConsensusState state_;
  wire::ControlState control_;
  std::uint64_t appliedTerm_ = 0;      //!< log term of the last applied entry
  std::uint64_t firstIndexOfTerm_ = 0; //!< first applied entry of appliedTerm_
  std::vector<core::consensus::Event> followUps_;
  bool stopping_ = false; //!< Resign was fed
};

} // namespace wigeonlb::daemon::control
