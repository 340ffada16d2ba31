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

//! Called once with the target's status, which is read again after the guarded
//! statement if one was executed. Empty if the target could not be read.
using TargetRequestDone =
  std::function<void(std::optional<wire::TargetReport>)>;

//! A statement that is executed only if the target's status meets its
//! conditions.
struct GuardedStatement
{
  std::string statement_;
  std::uint64_t incarnation_ = 0;    //!< required incarnation of the target
  std::uint64_t minSyncedBytes_ = 0; //!< minimum synced log of the target
  //! The statement is not executed at or after this time.
  foundation::Instant executeBefore_ = foundation::Instant::max();
};

//! Opens a separate connection to a target and reads its status. If the status
//! meets the conditions of the guarded statement, executes the statement on the
//! same connection and reads the status again. Closes the connection when done.
//! NOTE Used on the control thread; the connection is one of those that are
//! reserved for control on each target.
void
RunTargetRequest(boost::asio::io_context& aContext,
                 const target::Protocol& aProtocol,
                 const target::TargetAddress& aAddress,
                 const target::Dialect& aDialect,
                 std::optional<GuardedStatement> aStatement,
                 foundation::Duration aTimeout,
                 TargetRequestDone aDone);

} // namespace wigeonlb::daemon::control
