#pragma once

#include "control.pb.h"
#include "foundation/clock.h"

namespace wigeonlb::core::configuration {

//! Validity of a change ticket, the short-lived permit to propose a change. A
//! change that was delayed for longer, for example by a network partition, is
//! not proposed.
constexpr foundation::Duration kChangeTicketLifetimeMs =
  std::chrono::milliseconds(10000);

//! Creates a ticket of the leader of a consensus term, with the time of its own
//! clock.
wire::ChangeTicket
IssueTicket(std::uint64_t aTerm, foundation::Instant aNow);

//! True if the leader of aTerm issued the ticket at most
//! kChangeTicketLifetimeMs ago. A leader's clock goes back only on a restart,
//! which ends its term.
bool
IsValid(const wire::ChangeTicket& aTicket,
        std::uint64_t aTerm,
        foundation::Instant aNow);

} // namespace wigeonlb::core::configuration
