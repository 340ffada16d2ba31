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

//! Outcome of a submitted configuration change.
enum class ChangeOutcome
{
  Decided,   //!< result_ states whether the change was accepted or refused
  Undecided, //!< no leader permitted the proposal, so it was never logged
  Unknown,   //!< it may have been logged; resend it with the same change id
};

struct ChangeAnswer
{
  ChangeOutcome outcome_ = ChangeOutcome::Undecided;
  wire::ChangeResult result_;
};

using ChangeDone = std::function<void(const ChangeAnswer&)>;

//! Submits operators' changes from any host to the control leader and returns
//! the leader's reply. A resent change keeps its change id, so it is applied at
//! most once. The first request has no ticket; the leader replies with one, a
//! permit to propose the change within
//! core::configuration::kChangeTicketLifetimeMs, and proposes only requests
//! with a valid ticket. Requests to other members than the leader ask for a
//! relay: the leader may be out of this host's reach only. Used on the control
//! thread.
class ChangeSubmitter
{
public:
  //! aBoot identifies this start of the host: the numbers of requests begin
  //! again at each one. aMember is null on hosts that are not control members.
  ChangeSubmitter(foundation::HostId aSelf,
                  std::uint64_t aBoot,
                  std::vector<foundation::HostId> aMembers,
                  ConsensusMember* aMember,
                  PeerPort& aPort);

  void Submit(wire::ConfigurationChange aChange, ChangeDone aDone);
  void OnTick();
  //! Time at which the next change has to be resent or has timed out.
  foundation::Instant NextDue() const;
  void SetMembers(std::vector<foundation::HostId> aMembers);
  //! Sets the number of voters below which this leader proposes no changes.
  void SetMinVoters(std::size_t aVoters) { minVoters_ = aVoters; }
  void SetLeaderHint(const foundation::HostId& aLeader);
  const foundation::HostId& LeaderHint() const { return leaderHint_; }
  void OnRequest(const foundation::HostId& aFrom,
                 const wire::ChangeRequest& aRequest);
  void OnReply(const foundation::HostId& aFrom,
               const wire::ChangeReply& aReply);
  void OnApplied(std::uint64_t aIndex,
                 const core::configuration::ApplyResult& aResult);
  void OnDecided(const core::consensus::ProposalDecided& aDecision);

private:
  //! A change that an operator submitted at this host.
  struct Pending
  {
    wire::ConfigurationChange change_;
    ChangeDone done_;
    foundation::Instant deadline_;
    foundation::Instant nextAttempt_;
    std::size_t attempts_ = 0;
    //! The leader's permit; a request without it is not proposed.
    std::optional<wire::ChangeTicket> ticket_;
    //! Requests with a ticket that may still be logged.
    std::size_t unresolved_ = 0;
  };
  //! Destination of the answer to a proposal made here.
  struct Requester
  {
    foundation::HostId host_;
    std::uint64_t boot_ = 0; //!< start that numbered the request
    std::uint64_t request_ = 0;
    bool hadTicket_ = false;
  };

  //! A request of another host that this member sent to the leader under a
  //! number of its own.
  struct Relayed
  {
    Requester requester_;
    foundation::Instant forgetAt_;
  };

  void Attempt(std::uint64_t aRequest, Pending& aPending);
  void Send(const foundation::HostId& aMember,
            std::uint64_t aRequest,
            Pending& aPending);
  void ProcessTicket(const foundation::HostId& aFrom,
                     const wire::ChangeReply& aReply,
                     Pending& aPending);
  //! Relays a request to the leader. Returns false if it must not be relayed or
  //! no other leader is known.
  bool Relay(const Requester& aRequester, const wire::ChangeRequest& aRequest);
  bool MayPropose(const wire::ChangeRequest& aRequest) const;
  void LogDecided(const Requester& aRequester, std::uint64_t aIndex) const;
  void Answer(const Requester& aRequester, const wire::ChangeReply& aReply);
  foundation::HostId ChooseMember(const Pending& aPending) const;

  foundation::HostId self_;
  std::uint64_t boot_;
  std::vector<foundation::HostId> members_;
  std::size_t minVoters_ = 0;
  ConsensusMember* member_;
  PeerPort& port_;
  foundation::HostId leaderHint_;
  std::uint64_t nextRequest_ = 1;
  std::uint64_t nextToken_ = 1;
  std::map<std::uint64_t, Pending> pending_;
  std::map<std::uint64_t, Relayed> relayed_;      //!< numbered as pending_
  std::map<std::uint64_t, Requester> requesters_; //!< by token
  std::uint64_t lastIndex_ = 0;
  wire::ChangeResult lastResult_; //!< of the change applied at lastIndex_
};

} // namespace wigeonlb::daemon::control
