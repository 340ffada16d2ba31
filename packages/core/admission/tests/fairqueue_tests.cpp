#include <list>

#include <catch2/catch.hpp>

#include "core/admission/fairqueue.h"
#include "core/admission/servicetime.h"

namespace wigeonlb::core::admission {

using namespace std::chrono_literals;
using foundation::Instant;

TEST_CASE("tenants alternate, deadlines order a tenant's items", "[fairqueue]")
{
  struct Row
  {
    // Tenant and deadline in seconds, in the order of arrival.
    std::vector<std::pair<std::string, int>> items_;
    std::string order_;
  };
  const auto row = GENERATE(values<Row>({
    { { { "a", 3 }, { "a", 1 }, { "a", 2 } }, "a1 a2 a3 " },
    { { { "a", 1 }, { "a", 2 }, { "b", 9 }, { "b", 8 } }, "a1 b8 a2 b9 " },
    { { { "a", 1 }, { "a", 2 }, { "a", 3 }, { "b", 9 } }, "a1 b9 a2 a3 " },
  }));
  FairQueue queue;
  std::list<QueueItem> items;
  for (const auto& [tenant, deadline] : row.items_) {
    items.push_back({ tenant, Instant(std::chrono::seconds(deadline)) });
    Push(queue, items.back());
  }
  std::string order;
  const auto any = [](const QueueItem&) { return true; };
  while (QueueItem* next = FindNext(queue, 10, any)) {
    order += next->tenant_;
    order += std::to_string(next->deadline_.time_since_epoch() / 1s) + " ";
    Serve(queue, *next, 1ms);
  }
  CHECK(order == row.order_);
  CHECK(queue.size_ == 0);
}

namespace {

struct PlannedItem
{
  std::string name_;
  std::uint32_t priority_ = 0;
  std::chrono::milliseconds objective_{ 0 };
};

void
PushAll(FairQueue& aQueue,
        std::list<QueueItem>& aItems,
        const std::vector<PlannedItem>& aPlanned)
{
  for (const PlannedItem& planned : aPlanned) {
    QueueItem& item = aItems.emplace_back();
    item.tenant_ = planned.name_;
    item.deadline_ = Instant(10s);
    item.objectiveAt_ = Instant(planned.objective_);
    item.priority_ = planned.priority_;
    Push(aQueue, item);
  }
}

} // namespace

TEST_CASE("requests of low priority are not served before others",
          "[fairqueue]")
{
  struct Row
  {
    std::string description_;
    std::vector<PlannedItem> items_;
    std::string order_;
  };
  const auto row = GENERATE(values<Row>({
    { "priorities",
      { { "c", 2, 900ms }, { "a", 0, 900ms }, { "b", 1, 900ms } },
      "a b c " },
    { "an earlier objective of a lower priority waits",
      { { "low", 1, 210ms }, { "high", 0, 900ms } },
      "high low " },
  }));
  CAPTURE(row.description_);
  FairQueue queue;
  std::list<QueueItem> items;
  PushAll(queue, items, row.items_);
  std::string order;
  const auto any = [](const QueueItem&) { return true; };
  while (QueueItem* next = FindNext(queue, 10, any)) {
    order += next->tenant_ + " ";
    Serve(queue, *next, 1ms);
  }
  CHECK(order == row.order_);
  CHECK(queue.size_ == 0);
}

TEST_CASE("a burst of a higher priority doesn't starve a lower one",
          "[fairqueue]")
{
  FairQueue queue;
  std::list<QueueItem> items;
  for (int i = 0; i < 300; ++i) {
    PushAll(
      queue,
      items,
      { { "high", 0, 900ms }, { "middle", 1, 900ms }, { "low", 2, 900ms } });
  }
  std::map<std::string, int> served;
  for (int i = 0; i < 200; ++i) {
    QueueItem* next = FindNext(queue, 1, [](const QueueItem&) { return true; });
    ++served[next->tenant_];
    Serve(queue, *next, 1ms);
  }
  CHECK(served["high"] >= 150);
  CHECK(served["middle"] >= 18);
  CHECK(served["low"] >= 18);
  for (auto& item : items) {
    if (item.queueHook_.is_linked()) {
      Remove(queue, item);
    }
  }
}

TEST_CASE("a tenant is charged for its service time", "[fairqueue]")
{
  FairQueue queue;
  std::list<QueueItem> items;
  for (int i = 0; i < 200; ++i) {
    items.push_back({ i % 2 == 0 ? "slow" : "quick", Instant(1s) });
    Push(queue, items.back());
  }
  int slow = 0;
  for (int i = 0; i < 55; ++i) {
    QueueItem* next = FindNext(queue, 1, [](const QueueItem&) { return true; });
    const bool isSlow = next->tenant_ == "slow";
    slow += isSlow ? 1 : 0;
    Serve(queue, *next, isSlow ? 10ms : 1ms);
  }
  CHECK(slow == 5);
  for (auto& item : items) {
    if (item.queueHook_.is_linked()) {
      Remove(queue, item);
    }
  }
}

TEST_CASE("the wait is predicted from the items ahead", "[fairqueue]")
{
  FairQueue queue;
  std::list<QueueItem> items;
  for (int i = 0; i < 50; ++i) {
    items.push_back({ "a", Instant(1s) });
    Push(queue, items.back());
  }
  CHECK(CountAhead(queue, { "a", Instant(1s) }) == 50);
  CHECK(CountAhead(queue, { "b", Instant(1s) }) == 1);
  ServiceTime service;
  AddSample(service, 4ms);
  CHECK(PredictWait(service, 50, 2) == foundation::Duration(100ms));
  CHECK(PredictWaitWithMargin(service, 50, 2) == foundation::Duration(125ms));
  CHECK(PredictWaitWithMargin(service, 0, 2) == foundation::Duration(0ms));
  for (auto& item : items) {
    Remove(queue, item);
  }
}

} // namespace wigeonlb::core::admission
