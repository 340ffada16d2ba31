#pragma once

#include "control.pb.h"
#include "foundation/clock.h"

namespace wigeonlb::core::configuration {

//! Time that a change may take from the leader's ticket to its proposal. One
//! that was held back for longer, as by a partition, is not proposed.
constexpr foundation::Duration kChangeTicketLifetimeMs =
  std::chrono::milliseconds(10000);

//! A ticket of the leader of a consensus term, by its own clock.
wire::ChangeTicket
IssueTicket(std::uint64_t aTerm, foundation::Instant aNow);

//! True when the leader of the term issued the ticket at most
//! kChangeTicketLifetimeMs ago. A leader's clock goes back only in a restart,
//! which ends its term.
bool
IsValid(const wire::ChangeTicket& aTicket,
        std::uint64_t aTerm,
        foundation::Instant aNow);

} // namespace wigeonlb::core::configuration
