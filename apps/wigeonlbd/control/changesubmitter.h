#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "control/consensusmember.h"
#include "control/peerport.h"

namespace wigeonlb::daemon::control {

//! How a change ended.
enum class ChangeOutcome
{
  Decided,   //!< result_ holds the answer, accepted or refused
  Undecided, //!< no leader gave leave to log it: it never will be
  Unknown,   //!< it may have been logged; resend it with the same change id
};

struct ChangeAnswer
{
  ChangeOutcome outcome_ = ChangeOutcome::Undecided;
  wire::ChangeResult result_;
};

using ChangeDone = std::function<void(const ChangeAnswer&)>;

//! Takes operators' changes to the control leader and back, from any host.
//! Resends keep the change id, so a change is applied at most once. A change is
//! first sent without the leader's ticket and proposed only with one, within
//! core::configuration::kChangeTicketLifetimeMs. Used on the control thread.
class ChangeSubmitter
{
public:
  //! aMember is null on hosts that are not control members.
  ChangeSubmitter(foundation::HostId aSelf,
                  std::vector<foundation::HostId> aMembers,
                  ConsensusMember* aMember,
                  PeerPort& aPort);

  void Submit(wire::ConfigurationChange aChange, ChangeDone aDone);
  void OnTick();
  //! When the next tick has a change to resend or to give up.
  foundation::Instant NextDue() const;
  void SetMembers(std::vector<foundation::HostId> aMembers);
  //! Changes are logged only once so many voters take part.
  void SetMinVoters(std::size_t aVoters) { minVoters_ = aVoters; }
  void SetLeaderHint(const foundation::HostId& aLeader);
  const foundation::HostId& LeaderHint() const { return leaderHint_; }
  void OnRequest(const foundation::HostId& aFrom,
                 const wire::ChangeRequest& aRequest);
  void OnReply(const wire::ChangeReply& aReply);
  void OnApplied(std::uint64_t aIndex,
                 const core::configuration::ApplyResult& aResult);
  void OnDecided(const core::consensus::ProposalDecided& aDecision);

private:
  //! A change of an operator at this host.
  struct Pending
  {
    wire::ConfigurationChange change_;
    ChangeDone done_;
    foundation::Instant deadline_;
    foundation::Instant nextAttempt_;
    std::size_t attempts_ = 0;
    //! The leader's leave; a request without it is not logged.
    std::optional<wire::ChangeTicket> ticket_;
    std::size_t unresolved_ = 0; //!< requests that may still be logged
  };
  //! Who waits for a proposal made here.
  struct Requester
  {
    foundation::HostId host_;
    std::uint64_t request_ = 0;
    bool hadTicket_ = false;
  };

  void Attempt(std::uint64_t aRequest, Pending& aPending);
  void Send(const foundation::HostId& aMember,
            std::uint64_t aRequest,
            Pending& aPending);
  void ProcessTicket(const wire::ChangeReply& aReply, Pending& aPending);
  bool MayPropose(const wire::ChangeRequest& aRequest) const;
  void Answer(const Requester& aRequester, const wire::ChangeReply& aReply);
  foundation::HostId ChooseMember(const Pending& aPending) const;

  foundation::HostId self_;
  std::vector<foundation::HostId> members_;
  std::size_t minVoters_ = 0;
  ConsensusMember* member_;
  PeerPort& port_;
  foundation::HostId leaderHint_;
  std::uint64_t nextRequest_ = 1;
  std::uint64_t nextToken_ = 1;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::uint64_t, Requester> requesters_; //!< by token
  std::uint64_t lastIndex_ = 0;
  wire::ChangeResult lastResult_; //!< of the change applied at lastIndex_
};

} // namespace wigeonlb::daemon::control
