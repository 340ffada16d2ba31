#pragma once

#include <deque>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/quota/tokenholder.h"
#include "forward.pb.h"
#include "traffic/routingtable.h"
#include "traffic/trafficmetrics.h"

namespace wigeonlb::daemon::traffic {

//! What a quota gate calls, on its traffic thread.
struct QuotaCallbacks
{
  //! Sends a request to the control leader.
  std::function<void(wire::QuotaRequest)> send_;
  //! Runs an operation. Returns false if it is not run.
  std::function<bool(const wire::PeerMessage&)> run_;
  //! Answers an operation that was not run, with the reason and the time after
  //! which to retry.
  std::function<
    void(const wire::PeerMessage&, const std::string&, foundation::Duration)>
    refuse_;
};

//! Admits the operations of limited organisations at the owners of one traffic
//! thread. An operation without a token waits for the control leader's reply,
//! which takes a round trip, or is refused.
class QuotaGate
{
public:
  QuotaGate(boost::asio::io_context& aContext,
            std::uint64_t aBoot,
            std::uint32_t aShard,
            TrafficMetrics* aMetrics,
            QuotaCallbacks aCallbacks);

  //! Whether the request begins an operation of a limited organisation.
  static bool NeedsToken(const RoutingTablePointer& aRoutes,
                         const wire::ForwardRequest& aRequest);

  //! Runs, keeps or refuses a request that needs a token.
  void Admit(const wire::PeerMessage& aMessage);
  void OnReply(const wire::QuotaReply& aReply);

private:
  struct Waiting
  {
    wire::PeerMessage message_;
    foundation::Instant since_;
  };

  //! Carries out a decision. Returns false if the request waits.
  bool CarryOut(const core::quota::Admission& aAdmission,
                const wire::PeerMessage& aMessage);
  void Refuse(const wire::PeerMessage& aMessage,
              std::string_view aDecision,
              const std::string& aReason,
              foundation::Duration aRetryAfter);
  void Work();
  void DecideWaiting();
  void SetTimer();

  core::quota::TokenHolder holder_;
  TrafficMetrics* metrics_; //!< null: decisions are not counted
  QuotaCallbacks callbacks_;
  std::deque<Waiting> waiting_;
  boost::asio::steady_timer timer_;
  foundation::Instant timerDue_ = foundation::Instant::max();
  bool deciding_ = false;
};

} // namespace wigeonlb::daemon::traffic
