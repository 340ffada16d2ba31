#include "control/promotionport.h"

#include "control/targetrequest.h"

namespace wigeonlb::daemon::control {

namespace {

constexpr foundation::Duration kPromotionTimeoutMs =
  std::chrono::milliseconds(1500);

} // namespace

PromotionPort
PromoteByStatement(const target::Protocol& aProtocol, target::Login aLogin)
{
  return [&aProtocol, login = std::move(aLogin)](
           boost::asio::io_context& aContext,
           const core::failover::PromoteTarget& aOrder,
           const PromotionDone& aDone) {
    const target::Dialect& dialect = aProtocol.dialect_(aOrder.dialect_);
    RunTargetRequest(
      aContext,
      aProtocol,
      { aOrder.address_,
        aOrder.group_,
        login,
        aOrder.target_,
        aOrder.incarnation_ },
      dialect,
      GuardedStatement{
        target::SubstituteTerm(dialect.promoteStatement_, aOrder.term_),
        aOrder.incarnation_,
        aOrder.startOffset_ },
      kPromotionTimeoutMs,
      [aDone](std::optional<wire::TargetReport> aReport) {
        aDone({ false, std::move(aReport) });
      });
  };
}

} // namespace wigeonlb::daemon::control
