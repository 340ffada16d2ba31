#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/traffic/tests/fakegroup.h"
#include "traffic/ownedsessions.h"
#include "traffic/pendingcloses.h"

namespace wigeonlb::daemon::traffic {

//! A session at the simulated entry host.
struct EntryModel
{
  std::uint64_t number_ = 0; //!< of the last request
  bool waiting_ = false;
  wire::StatementClass class_ = wire::STATEMENT_WRITE; //!< of the last request
  std::size_t owner_ = 0;                              //!< of the last request
  std::uint64_t transaction_ = 0; //!< 0: outside of a transaction
  std::size_t transactionOwner_ = 0;
  std::size_t done_ = 0; //!< requests that ended with success
};

//! One owner with its own targets.
struct OwnerModel
{
  explicit OwnerModel(const core::traffic::Settings& aSettings);

  core::traffic::tests::FakeGroup group_;
  OwnedSessions sessions_;
  bool cut_ = false; //!< messages from and to it are lost or held back
};

//! A random schedule of callers' statements at one entry host whose messages to
//! and from several owners are lost, delayed, reordered and repeated. The
//! owners' sessions, their state machines and the pending closes are real.
class LossySessions
{
public:
  LossySessions(std::uint64_t aSeed, const core::traffic::Guards& aGuards);

  void Run();
  //! Ends the faults, lets every caller end its transaction and write once, and
  //! waits until all closes can have been confirmed.
  void Settle();

  //! Statements that ran in another transaction than that of their caller, and
  //! other violations at the owners.
  std::string Violations() const;
  std::size_t CountOpenTransactions() const;

  std::vector<EntryModel> entries_;
  PendingCloses closes_;
  std::size_t handedOn_ = 0;
  std::size_t givenUp_ = 0;

private:
  using Message = std::function<void()>;

  bool Roll(unsigned aOneIn);
  //! Delivers a message between the entry host and an owner, or loses it.
  void Post(std::size_t aOwner, const Message& aMessage);
  void Step();
  void Advance(core::traffic::Duration aLength);
  void Act(std::size_t aSession);
  void SendNext(std::size_t aSession);
  void Send(std::size_t aSession,
            std::size_t aOwner,
            wire::StatementClass aClass);
  void GiveUp(std::size_t aSession);
  void SendClose(const SessionAtOwner& aAt, std::uint64_t aRequest);
  void OnEnd(const wire::ForwardEnd& aEnd);
  void OnRequest(std::size_t aOwner, wire::ForwardRequest aRequest);
  void OnClose(std::size_t aOwner, const wire::ForwardClose& aClose);
  void OnFinish(std::size_t aOwner, const core::traffic::Finish& aFinish);

  std::mt19937 random_;
  bool faulty_ = true;
  core::traffic::Instant now_{ std::chrono::seconds(100) };
  std::vector<std::unique_ptr<OwnerModel>> owners_;
  std::multimap<core::traffic::Instant, Message> messages_;
};

} // namespace wigeonlb::daemon::traffic
