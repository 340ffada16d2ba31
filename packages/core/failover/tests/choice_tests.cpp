#include <catch2/catch.hpp>

#include "core/failover/tests/singleleader.h"

namespace wigeonlb::core::failover {

namespace {

//! A play of RunFenced.
struct Row
{
  std::string_view what_;
  std::map<std::string, Server> servers_;
  std::vector<std::string> chosen_; //!< in this order
  std::string_view primary_;        //!< confirmed at the end; empty for none
  std::string_view waiting_;        //!< part of the waiting reason at the end
  foundation::Duration within_ = std::chrono::seconds(5);
};

const Server kUnresponsive{ .answers_ = false };

Leader
Run(const Row& aRow)
{
  Leader leader;
  leader.servers_ = aRow.servers_;
  RunFenced(leader, aRow.within_);
  return leader;
}

} // namespace

TEST_CASE("a target that can't lead gives way to another safe one",
          "[failover]")
{
  const auto row = GENERATE(values<Row>({
    { "the best one refuses and the other replica holds the same",
      { { "a", { .offset_ = 130, .refuses_ = true } },
        { "b", kUnresponsive },
        { "c", { .offset_ = 130 } } },
      { "a", "c" },
      "c",
      "" },
    { "both replicas refuse and the old primary is back",
      { { "a", { .offset_ = 120, .refuses_ = true } },
        { "b", { .offset_ = 140, .primary_ = true } },
        { "c", { .offset_ = 130, .refuses_ = true } } },
      { "c", "b" },
      "b",
      "" },
    { "the best one refuses and the other may lack acknowledged writes",
      { { "a", { .offset_ = 120 } },
        { "b", kUnresponsive },
        { "c", { .offset_ = 130, .refuses_ = true } } },
      { "c" },
      "",
      "c has not come to lead" },
    { "the old primary alone holds all writes that it acknowledged",
      { { "a", { .counted_ = false } },
        { "b", { .offset_ = 130, .primary_ = true } },
        { "c", { .offset_ = 150, .diverged_ = true } } },
      { "b" },
      "b",
      "" },
    { "a primary of an earlier term alone may lack acknowledged writes",
      { { "a", { .adopted_ = 1, .offset_ = 150, .primary_ = true } },
        { "b", kUnresponsive },
        { "c", { .offset_ = 150, .diverged_ = true } } },
      {},
      "",
      "c has diverged" },
    { "a target without a tail of an earlier term is preferred to one with it",
      { { "a", { .adopted_ = 1, .offset_ = 150, .primary_ = true } },
        { "b", { .offset_ = 100, .primary_ = true } },
        { "c", { .adopted_ = 1, .offset_ = 90 } } },
      { "b" },
      "b",
      "" },
  }));
  INFO(row.what_);
  const auto leader = Run(row);
  CHECK(leader.chosen_ == row.chosen_);
  const auto& group = GetGroup(leader);
  CHECK((group.fenced() ? std::string() : group.primary()) == row.primary_);
  const auto waiting = GetWaitingReason(leader.state_, "g");
  INFO(waiting);
  CHECK(waiting.find(row.waiting_) != std::string::npos);
}

} // namespace wigeonlb::core::failover
