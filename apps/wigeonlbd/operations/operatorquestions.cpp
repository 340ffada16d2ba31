#include "operations/operatorquestions.h"

namespace wigeonlb::daemon::operations {

OperatorQuestions::OperatorQuestions(boost::asio::io_context& aContext,
                                     std::uint64_t aBoot,
                                     control::PeerPort& aPort)
  : context_(aContext)
  , boot_(aBoot)
  , port_(aPort)
{
}

void
OperatorQuestions::Send(const foundation::HostId& aHost,
                        wire::OperatorQuestion aQuestion,
                        Done aDone)
{
  if (aHost.empty()) {
    aDone(std::nullopt);
    return;
  }
  const std::uint64_t request = nextRequest_++;
  PendingQuestion& question = pending_[request];
  question.done_ = std::move(aDone);
  question.timeout_ =
    std::make_unique<boost::asio::steady_timer>(context_, kAnswerTimeoutMs);
  question.timeout_->async_wait(
    [this, request](const boost::system::error_code& aError) {
      if (!aError) {
        Complete(request, std::nullopt);
      }
    });
  wire::PeerMessage message;
  *message.mutable_operator_question() = std::move(aQuestion);
  message.mutable_operator_question()->set_request(request);
  message.mutable_operator_question()->set_boot(boot_);
  port_.SendControl(aHost, std::move(message));
}

void
OperatorQuestions::OnAnswer(const wire::OperatorAnswer& aAnswer)
{
  if (aAnswer.boot() != 0 && aAnswer.boot() != boot_) {
    return;
  }
  if (!aAnswer.answered()) {
    Complete(aAnswer.request(), std::nullopt);
    return;
  }
  operators::Table table;
  table.columns_.assign(aAnswer.columns().begin(), aAnswer.columns().end());
  for (const wire::TableRow& row : aAnswer.rows()) {
    table.rows_.emplace_back(row.cells().begin(), row.cells().end());
  }
  Complete(aAnswer.request(), std::move(table));
}

void
OperatorQuestions::Complete(std::uint64_t aRequest,
                            std::optional<operators::Table> aTable)
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return;
  }
  const Done done = std::move(found->second.done_);
  pending_.erase(found);
  done(std::move(aTable));
}

wire::OperatorAnswer
ToOperatorAnswer(const operators::Table& aTable)
{
  wire::OperatorAnswer answer;
  answer.set_answered(true);
  for (const std::string& column : aTable.columns_) {
    answer.add_columns(column);
  }
  for (const std::vector<std::string>& row : aTable.rows_) {
    wire::TableRow& cells = *answer.add_rows();
    for (const std::string& cell : row) {
      cells.add_cells(cell);
    }
  }
  return answer;
}

} // namespace wigeonlb::daemon::operations
