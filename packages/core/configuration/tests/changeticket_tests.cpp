#include <catch2/catch.hpp>

#include "core/configuration/changeticket.h"

namespace wigeonlb::core::configuration {

TEST_CASE("a ticket is valid for a limited time in the term that issued it",
          "[configuration]")
{
  using foundation::Duration;
  constexpr std::uint64_t kTerm = 7;
  constexpr Duration kOneUs = std::chrono::microseconds(1);
  struct Row
  {
    std::string_view what_;
    std::uint64_t term_; //!< of the ticket
    Duration age_;
    bool valid_;
  };
  const auto row = GENERATE_REF(values<Row>({
    { "used at once", kTerm, Duration(0), true },
    { "at the limit of its validity", kTerm, kChangeTicketLifetimeMs, true },
    { "expired", kTerm, kChangeTicketLifetimeMs + kOneUs, false },
    { "of an earlier term", kTerm - 1, Duration(0), false },
    { "of another leader's later term", kTerm + 1, Duration(0), false },
    { "missing", 0, Duration(0), false },
    { "issued before a restart of the clock", kTerm, -kOneUs, false },
  }));
  INFO(row.what_);
  const foundation::Instant issued(std::chrono::hours(1));
  const auto ticket = IssueTicket(row.term_, issued);
  CHECK(IsValid(ticket, kTerm, issued + row.age_) == row.valid_);
}

} // namespace wigeonlb::core::configuration
