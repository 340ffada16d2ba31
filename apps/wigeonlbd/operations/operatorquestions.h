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

//! Maximum wait for another host's answer to an operator's question. After it,
//! this host answers from its own state.
constexpr foundation::Duration kAnswerTimeoutMs =
  std::chrono::milliseconds(500);

//! Sends operators' questions to the host that can answer them: the control
//! leader, or an owner of a group. Used on the control thread.
class OperatorQuestions
{
public:
  //! Called once with the other host's table, or nothing on a timeout or if
  //! that host can't answer.
  using Done = std::function<void(std::optional<operators::Table>)>;

  //! aBoot identifies this start of the host: the numbers of questions begin
  //! again at each one.
  OperatorQuestions(boost::asio::io_context& aContext,
                    std::uint64_t aBoot,
                    control::PeerPort& aPort);

  //! Sends a question to a host. If the name is empty, calls aDone with nothing
  //! immediately.
  void Send(const foundation::HostId& aHost,
            wire::OperatorQuestion aQuestion,
            Done aDone);
  //! Handles an answer; one to a question that is no longer pending, or of a
  //! former start, is dropped.
  void OnAnswer(const wire::OperatorAnswer& aAnswer);

private:
  struct PendingQuestion
  {
    Done done_;
    std::unique_ptr<boost::asio::steady_timer> timeout_;
  };

  void Complete(std::uint64_t aRequest, std::optional<operators::Table> aTable);

  boost::asio::io_context& context_;
  std::uint64_t boot_;
  control::PeerPort& port_;
  std::uint64_t nextRequest_ = 1;
  std::map<std::uint64_t, PendingQuestion> pending_;
};

//! Converts a table into the message that answers a question.
wire::OperatorAnswer
ToOperatorAnswer(const operators::Table& aTable);

} // namespace wigeonlb::daemon::operations
