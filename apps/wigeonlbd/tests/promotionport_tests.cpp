#include <catch2/catch.hpp>

#include <boost/asio/post.hpp>

#include "control/promotionport.h"

namespace wigeonlb::daemon::control {

namespace {

using foundation::Instant;

const target::Dialect&
GetTestDialect(std::string_view /*aName*/)
{
  static const target::Dialect dialect = [] {
    target::Dialect made{};
    made.statusStatement_ = "status";
    made.promoteStatement_ = "promote to {term}";
    return made;
  }();
  return dialect;
}

//! Statements that targets received, in order.
std::vector<std::string> gStatements;

//! A target that becomes primary of term 3 when it is promoted.
class PromotableTarget : public target::TargetConnection
{
public:
  PromotableTarget(boost::asio::io_context& aContext,
                   target::TargetObserver& aObserver)
    : context_(aContext)
    , observer_(aObserver)
  {
  }

  void Open(const target::TargetAddress&, foundation::Duration) override
  {
    Post([this] { observer_.OnOpened(*this); });
  }

  bool Send(std::span<const target::Query> aQueries) override
  {
    const std::string& statement = aQueries.front().text_;
    gStatements.push_back(statement);
    primary_ = primary_ || statement.starts_with("promote");
    Post([this] {
      const std::vector<target::Field> row{
        primary_ ? "t" : "f", primary_ ? "3" : "2", "100", "100", "1"
      };
      observer_.OnRow(*this, 0, row);
      observer_.OnIdle(*this, 'I', std::nullopt);
    });
    return true;
  }

  void Pause() override {}
  void Resume() override {}
  void Cancel() override {}
  void Close() override { open_ = false; }
  std::int32_t GetBackendId() const override { return 0; }
  bool IsOpen() const override { return open_; }

private:
  void Post(std::function<void()> aCall)
  {
    const target::TargetConnectionPointer self(this);
    boost::asio::post(context_, [this, self, call = std::move(aCall)] {
      if (open_) {
        call();
      }
    });
  }

  boost::asio::io_context& context_;
  target::TargetObserver& observer_;
  bool primary_ = false;
  bool open_ = true;
};

target::TargetConnectionPointer
ConnectToTarget(boost::asio::io_context& aContext,
                target::TargetObserver& aObserver)
{
  return new PromotableTarget(aContext, aObserver);
}

} // namespace

TEST_CASE("a promotion by statement runs only under the leader's lease",
          "[promotionport]")
{
  struct Row
  {
    std::string_view what_;
    Instant leaseUntil_;
    std::vector<std::string> statements_;
    bool reported_;
  };
  const auto row = GENERATE(values<Row>({
    { "the lease holds",
      Instant::max(),
      { "status", "promote to 3", "status" },
      true },
    // A report would look like a refusal of the target.
    { "the lease has ended", {}, { "status" }, false },
  }));
  INFO(row.what_);
  const target::Protocol protocol{ ConnectToTarget, GetTestDialect, {} };
  core::failover::PromoteTarget promotion;
  promotion.term_ = 3;
  promotion.incarnation_ = 1;
  promotion.leaseUntil_ = row.leaseUntil_;
  gStatements.clear();
  std::optional<PromotionResult> result;
  boost::asio::io_context context;
  PromoteByStatement(protocol, {})(
    context, promotion, [&](PromotionResult aResult) { result = aResult; });
  context.run();

  REQUIRE(result);
  CHECK_FALSE(result->accepted_);
  CHECK(gStatements == row.statements_);
  REQUIRE(result->report_.has_value() == row.reported_);
  CHECK((!result->report_ || result->report_->primary()));
}

} // namespace wigeonlb::daemon::control
