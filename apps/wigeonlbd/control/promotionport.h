#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "core/failover/failover.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::control {

//! Outcome of a request to promote a target to primary.
struct PromotionResult
{
  //! The promoting service has accepted the request; the target becomes primary
  //! later.
  bool accepted_ = false;
  //! The target's status after the request; a target that is not primary has
  //! refused it. Empty if the status could not be read.
  std::optional<wire::TargetReport> report_;
};

using PromotionDone = std::function<void(PromotionResult)>;

//! Promotes the chosen target to primary. The request carries a fence, which is
//! higher for each later choice. A request may be repeated while it is
//! unanswered, and may be carried out late. It does not leave this host after
//! the leader's lease, leaseUntil_, also if the connection took long to open or
//! the process was suspended: the result is then an empty one.
using PromotionPort = std::function<void(boost::asio::io_context& aContext,
                                         const core::failover::PromoteTarget&,
                                         PromotionDone aDone)>;

//! Promotes a target by the promotion statement of its dialect.
PromotionPort
PromoteByStatement(const target::Protocol& aProtocol, target::Login aLogin);

} // namespace wigeonlb::daemon::control
