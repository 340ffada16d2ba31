#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "control.pb.h"
#include "foundation/clock.h"
#include "target/dialect.h"
#include "target/targetconnection.h"

namespace wigeonlb::daemon::control {

//! Called once with the target's status, behind the order if there is one, or
//! empty when the target could not be asked.
using TargetRequestDone =
  std::function<void(std::optional<wire::TargetReport>)>;

//! An order that is given only to the target that was meant by it.
struct GuardedStatement
{
  std::string statement_;
  std::uint64_t incarnation_ = 0;    //!< the target's, as it was chosen
  std::uint64_t minSyncedBytes_ = 0; //!< bytes of log that it must hold
};

//! Opens a connection of its own to a target and reads the status; with an
//! order whose conditions the status meets, gives it on the same connection and
//! reads the status again. Closes, and destroys itself when it is done.
//! NOTE Used on the control thread, within the connections that are set aside
//! for control on each target.
void
RunTargetRequest(boost::asio::io_context& aContext,
                 const target::Protocol& aProtocol,
                 const target::TargetAddress& aAddress,
                 const target::Dialect& aDialect,
                 std::optional<GuardedStatement> aStatement,
                 foundation::Duration aTimeout,
                 TargetRequestDone aDone);

} // namespace wigeonlb::daemon::control
