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
           const core::failover::PromoteTarget& aRequest,
           const PromotionDone& aDone) {
    const target::Dialect& dialect = aProtocol.dialect_(aRequest.dialect_);
    RunTargetRequest(
      aContext,
      aProtocol,
      { aRequest.address_,
        aRequest.group_,
        login,
        aRequest.target_,
        aRequest.incarnation_ },
      dialect,
      GuardedStatement{
        target::SubstituteTerm(dialect.promoteStatement_, aRequest.term_),
        aRequest.incarnation_,
        aRequest.startOffset_,
        aRequest.leaseUntil_ },
      kPromotionTimeoutMs,
      [aDone](std::optional<wire::TargetReport> aReport) {
        aDone({ false, std::move(aReport) });
      });
  };
}

} // namespace wigeonlb::daemon::control
