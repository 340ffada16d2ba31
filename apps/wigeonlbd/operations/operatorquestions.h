#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "control.pb.h"
#include "control/peerport.h"
#include "foundation/clock.h"
#include "operator/table.h"

namespace wigeonlb::daemon::operations {

//! Time that an operator's question waits for another host; after it the host
//! that was asked answers with what it knows itself.
constexpr foundation::Duration kAnswerTimeoutMs =
  std::chrono::milliseconds(500);

//! Takes operators' questions to the host that can answer them: the control
//! leader, or an owner of a group. Used on the control thread.
class OperatorQuestions
{
public:
  //! Given once: the other host's table, or nothing when none came in time.
  using Done = std::function<void(std::optional<operators::Table>)>;

  OperatorQuestions(boost::asio::io_context& aContext,
                    control::PeerPort& aPort);

  //! Asks a host; an empty name is answered with nothing at once.
  void Send(const foundation::HostId& aHost,
            wire::OperatorQuestion aQuestion,
            Done aDone);
  //! An answer to a question that is not open any more is dropped.
  void OnAnswer(const wire::OperatorAnswer& aAnswer);

private:
  struct PendingQuestion
  {
    Done done_;
    std::unique_ptr<boost::asio::steady_timer> timeout_;
  };

  void Complete(std::uint64_t aRequest, std::optional<operators::Table> aTable);

  boost::asio::io_context& context_;
  control::PeerPort& port_;
  std::uint64_t nextRequest_ = 1;
  std::map<std::uint64_t, PendingQuestion> pending_;
};

//! The message that answers a question with a table.
wire::OperatorAnswer
ToOperatorAnswer(const operators::Table& aTable);

} // namespace wigeonlb::daemon::operations
