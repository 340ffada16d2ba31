#include <list>

#include <catch2/catch.hpp>

#include "core/pool/targetpool.h"

namespace wigeonlb::core::pool {

using namespace std::chrono_literals;
using foundation::Instant;

TEST_CASE("connections are opened within the share", "[targetpool]")
{
  struct Row
  {
    std::uint32_t share_, slots_, idle_, busy_, pinned_, waiting_, missing_;
  };
  const auto row = GENERATE(values<Row>({
    { 10, 3, 0, 0, 0, 0, 3 },
    { 10, 3, 1, 2, 0, 0, 0 },
    { 10, 3, 0, 3, 0, 0, 0 },
    { 10, 3, 0, 0, 2, 0, 1 },
    { 10, 3, 1, 0, 2, 0, 0 },
    { 10, 3, 0, 0, 4, 0, 0 },
    { 10, 3, 0, 3, 0, 1, 1 },
    { 2, 3, 0, 0, 0, 5, 2 },
    { 2, 3, 2, 2, 0, 0, 0 },
    { 0, 3, 0, 0, 0, 1, 0 },
  }));
  TargetPool pool;
  pool.share_ = row.share_;
  pool.slots_ = row.slots_;
  std::list<PooledConnection> connections;
  const auto add = [&](std::uint32_t aCount, ConnectionState aState) {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      connections.emplace_back();
      AddOpening(pool, connections.back(), Instant(1s));
      ChangeState(pool, connections.back(), aState, Instant(2s));
    }
  };
  add(row.idle_, ConnectionState::Idle);
  add(row.busy_, ConnectionState::Busy);
  add(row.pinned_, ConnectionState::Pinned);
  CHECK(CountConnectionsToOpen(pool, row.waiting_) == row.missing_);
  CHECK(HasFreeSlot(pool) == (row.busy_ + row.pinned_ < row.slots_));
  const std::size_t total = row.idle_ + row.busy_ + row.pinned_;
  CHECK(CountConnections(pool) == total);
  CHECK((FindSurplus(pool) != nullptr) ==
        (total > row.share_ && row.idle_ > 0));
  for (auto& connection : connections) {
    RemoveConnection(pool, connection);
  }
  CHECK(CountConnections(pool) == 0);
  CHECK(pool.busy_ + pool.opening_ + pool.pinned_ == 0);
}

TEST_CASE("slots are divided among owners", "[targetpool]")
{
  struct Row
  {
    std::uint32_t slots_, owners_, part_;
  };
  const auto row = GENERATE(values<Row>({
    { 3, 1, 3 },
    { 3, 2, 2 },
    { 3, 3, 1 },
    { 3, 9, 1 },
    { 0, 0, 1 },
  }));
  CHECK(ComputeSlotShare(row.slots_, row.owners_) == row.part_);
}

} // namespace wigeonlb::core::pool
