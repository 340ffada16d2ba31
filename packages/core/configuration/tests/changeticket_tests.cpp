#include <catch2/catch.hpp>

#include "core/configuration/changeticket.h"

namespace wigeonlb::core::configuration {

TEST_CASE("a change is proposed with a fresh ticket of the term alone",
          "[configuration]")
{
  using foundation::Duration;
  constexpr std::uint64_t kTerm = 7;
  constexpr Duration kInstantUs = std::chrono::microseconds(1);
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
    { "expired", kTerm, kChangeTicketLifetimeMs + kInstantUs, false },
    { "of an earlier term", kTerm - 1, Duration(0), false },
    { "of another leader's later term", kTerm + 1, Duration(0), false },
    { "missing", 0, Duration(0), false },
    { "issued before a restart of the clock", kTerm, -kInstantUs, false },
  }));
  INFO(row.what_);
  const foundation::Instant issued(std::chrono::hours(1));
  const auto ticket = IssueTicket(row.term_, issued);
  CHECK(IsValid(ticket, kTerm, issued + row.age_) == row.valid_);
}

} // namespace wigeonlb::core::configuration
