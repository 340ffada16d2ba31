#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "control.pb.h"
#include "forward.pb.h"
#include "foundation/clock.h"

namespace wigeonlb::daemon::traffic {

//! Deletes expired request keys of one group periodically, a bounded number at
//! a time. The deletes pass through the group's queue like writes of callers.
class RequestKeyExpiry
{
public:
  using Send = std::function<void(wire::ForwardRequest)>;

  //! aSend passes a request to the owner group.
  RequestKeyExpiry(boost::asio::io_context& aContext, Send aSend);

  //! Applies the options of the group. aSecondsExpression is the SQL expression
  //! for the clock of its targets.
  void OnGroupChanged(const wire::GroupState& aGroup,
                      std::string_view aSecondsExpression);

private:
  void SetTimer();
  void RemoveExpiredKeys();

  boost::asio::steady_timer timer_;
  Send send_;
  std::string group_;
  std::string statement_; //!< empty: request keys are off for the group
  std::uint64_t lastRequest_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace wigeonlb::daemon::traffic
