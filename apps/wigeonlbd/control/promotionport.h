#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "core/failover/failover.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::control {

//! What became of the order to make a target primary.
struct PromotionResult
{
  //! Whoever promotes has taken the order, and the target will lead in a while.
  bool accepted_ = false;
  //! The target's status behind the order; one that doesn't lead has refused.
  //! Empty when nothing is known of it.
  std::optional<wire::TargetReport> report_;
};

using PromotionDone = std::function<void(PromotionResult)>;

//! The port through which a chosen target is made primary. The order carries
//! its fence: a later choice has a higher one. An order may be given again
//! while it isn't answered, and may be carried out late.
using PromotionPort = std::function<void(boost::asio::io_context& aContext,
                                         const core::failover::PromoteTarget&,
                                         PromotionDone aDone)>;

//! Promotes by the statement of the target's dialect.
PromotionPort
PromoteByStatement(const target::Protocol& aProtocol, target::Login aLogin);

} // namespace wigeonlb::daemon::control
