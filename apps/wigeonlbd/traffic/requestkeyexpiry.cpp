#include "traffic/requestkeyexpiry.h"

#include <chrono>
#include <utility>

#include "core/configuration/groupoptions.h"
#include "traffic/keyedrequest.h"

namespace wigeonlb::daemon::traffic {

namespace {

namespace configuration = core::configuration;
using foundation::Duration;

constexpr Duration kIntervalMs = std::chrono::milliseconds(5000);
constexpr Duration kDeadlineMs = std::chrono::milliseconds(2000);
constexpr const char* kTenant = "wigeonlb";

} // namespace

RequestKeyExpiry::RequestKeyExpiry(boost::asio::io_context& aContext,
                                   Send aSend)
  : timer_(aContext)
  , send_(std::move(aSend))
{
}

void
RequestKeyExpiry::OnGroupChanged(const wire::GroupState& aGroup,
                                 std::string_view aSecondsExpression)
{
  const bool idle = statement_.empty();
  const std::string table = configuration::RequestKeyTable(aGroup);
  group_ = aGroup.group();
  statement_ = table.empty()
                 ? std::string()
                 : MakeExpiryStatement(
                     table,
                     configuration::OptionDuration(aGroup, "request_key_age"),
                     aSecondsExpression);
  if (idle && !statement_.empty()) {
    SetTimer();
  }
}

void
RequestKeyExpiry::SetTimer()
{
  timer_.expires_after(kIntervalMs);
  timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](
                      const boost::system::error_code& aError) {
    if (!aError && !alive.expired() && !statement_.empty()) {
      SetTimer();
      RemoveExpiredKeys();
    }
  });
}

void
RequestKeyExpiry::RemoveExpiredKeys()
{
  wire::ForwardRequest request;
  request.set_request(++lastRequest_);
  request.set_group(group_);
  request.set_tenant(kTenant);
  request.set_statement_class(wire::STATEMENT_WRITE);
  request.set_statement(statement_);
  request.set_deadline_us(static_cast<std::uint64_t>(kDeadlineMs.count()));
  send_(std::move(request));
}

} // namespace wigeonlb::daemon::traffic
