#include "core/configuration/changeticket.h"

namespace wigeonlb::core::configuration {

using foundation::Instant;

namespace {

std::uint64_t
ToMicroseconds(Instant aInstant)
{
  return static_cast<std::uint64_t>(aInstant.time_since_epoch().count());
}

} // namespace

wire::ChangeTicket
IssueTicket(std::uint64_t aTerm, Instant aNow)
{
  wire::ChangeTicket ticket;
  ticket.set_term(aTerm);
  ticket.set_issued_at_us(ToMicroseconds(aNow));
  return ticket;
}

bool
IsValid(const wire::ChangeTicket& aTicket, std::uint64_t aTerm, Instant aNow)
{
  const auto now = ToMicroseconds(aNow);
  const auto longest =
    static_cast<std::uint64_t>(kChangeTicketLifetimeMs.count());
  return aTicket.term() == aTerm && aTicket.issued_at_us() <= now &&
         now - aTicket.issued_at_us() <= longest;
}

} // namespace wigeonlb::core::configuration
