#pragma once

#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "core/traffic/trafficstate.h"

namespace wigeonlb::core::traffic::tests {

using namespace std::chrono_literals;

//! One write in a target's log.
struct Entry
{
  Instant at_;
  std::uint64_t term_ = 0;
  std::uint64_t offset_ = 0;
  RequestId write_;
  std::string key_;
};

//! A simulated database server in virtual time, with a log, slots and faults.
struct FakeTarget
{
  TargetName name_;
  foundation::DataCentre dataCentre_;
  bool primary_ = false;
  std::uint64_t term_ = 1;
  std::uint64_t incarnation_ = 1;
  std::vector<Entry> log_;
  //! Number of entries of log_ that the server has received.
  mutable std::size_t receivedEntries_ = 0;
  //! Delay with which it receives the primary's log entries.
  Duration lag_ = 5ms;
  //! Additional delay until reads see a received entry.
  Duration applyLag_{ 0 };
  Duration roundTrip_ = 1ms;
  Duration service_ = 2ms;
  //! Upper bound of the random addition to service_.
  Duration jitter_{ 0 };
  //! Refuses connections and breaks those that are open.
  bool down_ = false;
  //! Responds to nothing, but keeps its connections open.
  bool frozen_ = false;
  //! The current probe connection never responds again.
  bool probeUnresponsive_ = false;
  bool counted_ = true;
  bool usable_ = true;
  bool draining_ = false;
  std::vector<Instant> slotFreeAt_;
  std::size_t connections_ = 0;
  std::size_t running_ = 0;
  //! Sessions whose termination was requested.
  std::set<BackendId> terminatedSessions_;
  //! Requests to terminate sessions of former holders, and when each arrived.
  std::vector<std::pair<Instant, SessionTerminations>> holderTerminations_;
};

//! The outcome of a request.
struct Result
{
  Instant at_;
  Finish finish_;
};

//! A request that a test sends.
struct RequestSpec
{
  SessionId session_ = 1;
  wire::StatementClass class_ = wire::STATEMENT_WRITE;
  Duration deadline_ = 1s;
  std::optional<Duration> latencyObjective_ = std::nullopt;
  std::optional<Duration> maxAge_ = std::nullopt;
  bool repeatable_ = false;
  foundation::Tenant tenant_ = "tenant";
  std::optional<LogPosition> floor_ = std::nullopt;
  bool needsFreshFloor_ = false;
  //! The statement writes, regardless of its class.
  bool writes_ = false;
  //! Request key; for a transaction, the key of its BEGIN.
  std::string key_;
  //! Number of the request that began the transaction to which the statement
  //! belongs. Empty: the one that the session's caller believes to be open.
  std::optional<std::uint64_t> transaction_ = std::nullopt;
};

//! A simulation of one group in virtual time: targets, driver and callers
//! around a TrafficState. Violations of the invariants are collected as text.
class FakeGroup
{
public:
  FakeGroup(const Settings& aSettings,
            std::size_t aTargets,
            std::uint32_t aSlots);

  FakeTarget& Target(std::size_t aIndex) { return *targets_[aIndex]; }
  std::size_t TargetCount() const { return targets_.size(); }
  Instant Now() const { return now_; }

  //! Announces the targets, issues a grant that is kept, and opens connections.
  void SetUp();
  //! All violations as text; empty when there is none.
  std::string Violations() const;
  void Feed(const TrafficEvent& aEvent);
  //! Sends the current group state to the core.
  void Announce();
  //! Issues a grant for the primary; a length of zero ends the current one.
  void Grant(Duration aLength, std::uint32_t aShare = 8);
  //! Whether the grant is renewed every 100 ms from now on.
  void KeepGrant(bool aKeep) { keepGrant_ = aKeep; }
  //! The control leader revokes the term and issues no further grant for it.
  void Revoke();
  //! Makes another target the primary of the next term. The old primary does
  //! not notice and stays the primary of its own term.
  void Promote(std::size_t aIndex);
  //! The target with the longest log in the latest term; empty unless a
  //! majority of the targets is up with its original data.
  std::optional<std::size_t> FindLongest() const;
  std::uint64_t Term() const { return term_; }
  //! Requests without a Finish, except those of closed sessions.
  std::size_t CountUnfinished(const std::set<SessionId>& aClosed) const;
  bool IsInTransaction(SessionId aSession) const
  {
    const auto found = status_.find(aSession);
    return found != status_.end() && found->second != 'I';
  }
  //! Whether a replica could serve the session's reads now, judged by the
  //! actual state of the targets.
  bool CouldReplicaServe(SessionId aSession) const;
  //! The target loses its data and restarts as a new incarnation.
  void Rebuild(std::size_t aIndex, bool aBreaks = true);
  //! Connections that are open now never respond again.
  void FreezeConnections(std::size_t aIndex);
  void BreakConnections(std::size_t aIndex, bool aRowsForwarded = false);

  RequestId Send(const RequestSpec& aSpec);
  //! Feeds a request that arrives from an entry host outside of this
  //! simulation.
  void Deliver(const RequestArrived& aEvent);
  //! The entry host gives up the session's transaction and its request in
  //! progress, and no message about it reaches the owner.
  void GiveUp(SessionId aSession);
  void Run(Duration aLength);
  //! Sends a request and runs until its Finish.
  Finish Do(const RequestSpec& aSpec);

  //! The results of all finished requests.
  std::map<RequestId, Result> results_;
  std::vector<std::string> violations_;
  std::uint64_t released_ = 0;
  wire::AcknowledgedWrites reportedWrites_; //!< as last reported
  std::map<RequestId, int> timesSent_;
  TrafficState state_;
  std::mt19937 random_;
  Duration openCost_ = 10ms;
  bool noLeaderSinceStart_ = false; //!< sent with the next Announce
  bool byOrganisation_ = false;     //!< sent with the next Announce
  std::size_t opened_ = 0;          //!< connections
  //! Target of each accepted read.
  std::map<RequestId, TargetName> readAt_;
  std::uint64_t ticks_ = 0;
  std::map<std::string, std::string> options_; //!< of the group
  std::vector<std::string> endedHolders_;      //!< sent with the next Grant
  //! Whether the entry host tells the number of the transaction.
  bool numbersTransactions_ = true;
  //! Called with each step of the state machine; may be empty.
  std::function<void(const TrafficEvent&, std::span<const TrafficAction>)>
    onStep_;

private:
  struct Statement
  {
    RequestId request_;
    bool readOnly_ = false;
    bool checkHasWritten_ = false;
    std::optional<bool> wrote_ = std::nullopt;
    bool done_ = false;
    bool alreadyDone_ = false;
  };
  struct Link
  {
    FakeTarget* target_ = nullptr;
    foundation::Tenant organisation_;
    bool open_ = false;
    bool unresponsive_ = false;
    bool busy_ = false;
    bool inTransaction_ = false;
    bool failedTransaction_ = false;
    //! The BEGIN of the open transaction.
    RequestId begin_;
    std::vector<RequestId> pendingWrites_;
    std::string pendingKey_;
    std::uint64_t statement_ = 0;
    Statement current_;
    // Writes that were visible to its last read, for the check at AcceptAnswer.
    std::set<RequestId> visibleWrites_;
  };
  struct SentRequest
  {
    RequestSpec spec_;
    Instant deadline_;
    std::set<RequestId> requiredWrites_;
    LogPosition floor_;
    std::uint64_t transaction_ = 0;
  };

  void ScheduleAt(Instant aTime, std::function<void()> aCallback);
  void Act(const TrafficAction& aAction);
  void Act(const OpenConnection& aAction);
  void Act(const CloseConnection& aAction);
  void Act(const SendStatement& aAction);
  void Act(const AcceptAnswer& aAction);
  void Act(const DropAnswer& aAction);
  void Act(const ReadCommitPosition& aAction);
  void Act(const SendProbe& aAction);
  void Act(const ResetProbe& aAction);
  void Act(const Finish& aAction);
  void Act(const CancelOnTarget& aAction);
  void Act(const TermReleased& aAction);
  void Act(const WritesAcknowledged& aAction)
  {
    reportedWrites_ = aAction.writes_;
  }
  void Execute(ConnectionId aId, std::uint64_t aStatement);
  void Answer(ConnectionId aId, std::uint64_t aStatement, std::string aError);
  std::string RunStatement(Link& aLink, const SentRequest& aSentRequest);
  void CheckTransaction(const Link& aLink, const SentRequest& aSentRequest);
  void Append(FakeTarget& aPrimary,
              const RequestId& aWrite,
              const std::string& aKey = {});
  const Entry* FindKey(const std::string& aKey) const;
  bool IsKeyKnown(const FakeTarget& aTarget, const std::string& aKey) const;
  std::vector<Entry> GetReceivedLog(const FakeTarget& aTarget) const;
  std::vector<Entry> GetAppliedLog(const FakeTarget& aTarget) const;
  wire::TargetReport MakeReport(const FakeTarget& aTarget) const;
  void AddViolation(const std::string& aText);
  void CheckDone(const RequestId& aId, const Finish& aFinish);
  void SetIdle(Link& aLink);
  FakeTarget* Find(const TargetName& aName);

  Instant now_{ 100s };
  std::multimap<Instant, std::function<void()>> timers_;
  std::vector<std::unique_ptr<FakeTarget>> targets_;
  std::vector<wire::TermStart> history_;
  std::uint32_t slots_;
  std::uint32_t share_ = 0;
  std::uint64_t term_ = 1;
  std::uint64_t revoked_ = 0;
  std::size_t primary_ = 0;
  bool keepGrant_ = false;
  Instant grantEnds_;
  std::uint32_t requestedShare_ = 8;
  std::map<ConnectionId, Link> links_;
  std::map<SessionId, std::uint64_t> transactions_; //!< by the caller's belief
  std::set<RequestId> givenUp_;
  std::map<RequestId, SentRequest> requests_;
  std::map<SessionId, LogPosition> floors_;
  std::map<SessionId, std::set<RequestId>> acknowledged_;
  std::map<SessionId, std::uint64_t> lastRequest_;
  std::map<SessionId, char> status_;
  std::map<SessionId, std::vector<RequestId>> inTransaction_;
  Settings settings_;
  //! Targets that have ever stored a write.
  mutable std::map<RequestId, std::set<TargetName>> everStored_;
};

} // namespace wigeonlb::core::traffic::tests
