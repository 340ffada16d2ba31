#include "control/targetrequest.h"

#include <memory>

#include <boost/asio/post.hpp>

namespace wigeonlb::daemon::control {

namespace {

class TargetRequest
  : public std::enable_shared_from_this<TargetRequest>
  , private target::TargetObserver
{
public:
  TargetRequest(boost::asio::io_context& aContext,
                const target::Protocol& aProtocol,
                const target::Dialect& aDialect,
                std::optional<GuardedStatement> aStatement,
                TargetRequestDone aDone)
    : context_(aContext)
    , dialect_(aDialect)
    , guardedStatement_(std::move(aStatement))
    , done_(std::move(aDone))
    , timer_(aContext)
    , connection_(aProtocol.connect_(aContext, *this))
  {
  }

  void Start(const target::TargetAddress& aAddress,
             foundation::Duration aTimeout)
  {
    self_ = shared_from_this();
    timer_.expires_after(aTimeout);
    timer_.async_wait([self = self_](const boost::system::error_code& aError) {
      if (!aError) {
        self->Finish(std::nullopt);
      }
    });
    connection_->Open(aAddress, aTimeout);
  }

private:
  enum class Phase
  {
    Reading,
    Executing
  };

  void OnOpened(target::TargetConnection& /*aConnection*/) override
  {
    ReadStatus();
  }

  void OnLost(target::TargetConnection& /*aConnection*/,
              std::error_code /*aError*/,
              const std::string& /*aDetail*/) override
  {
    Finish(std::nullopt);
  }

  void OnColumns(target::TargetConnection& /*aConnection*/,
                 std::size_t /*aIndex*/,
                 const std::vector<target::Column>& /*aColumns*/) override
  {
  }

  void OnRow(target::TargetConnection& /*aConnection*/,
             std::size_t /*aIndex*/,
             std::span<const target::Field> aRow) override
  {
    if (phase_ == Phase::Executing) {
      return;
    }
    wire::TargetReport report;
    if (!target::ReadStatus(aRow, report)) {
      report_ = std::move(report);
    }
  }

  void OnComplete(target::TargetConnection& /*aConnection*/,
                  std::size_t /*aIndex*/,
                  std::string_view /*aTag*/) override
  {
  }

  void OnSqlError(target::TargetConnection& /*aConnection*/,
                  const target::SqlError& /*aError*/) override
  {
    failed_ = true;
  }

  void OnIdle(target::TargetConnection& /*aConnection*/,
              char /*aStatus*/,
              const std::optional<foundation::LogPosition>& aPosition) override
  {
    if (report_ && aPosition) {
      report_->set_applied_offset(aPosition->offset_);
    }
    if (phase_ == Phase::Executing) {
      // The status shows whether the statement took effect.
      failed_ = false;
      ReadStatus();
    } else if (failed_ || !report_) {
      Finish(std::nullopt);
    } else if (guardedStatement_) {
      ExecuteStatement();
    } else {
      Finish(std::move(report_));
    }
  }

  void ReadStatus()
  {
    phase_ = Phase::Reading;
    report_.reset();
    Send(std::string(dialect_.statusStatement_));
  }

  void ExecuteStatement()
  {
    // A target that was replaced by an empty one at the same address must not
    // become primary.
    if (report_->incarnation() != guardedStatement_->incarnation_ ||
        report_->synced_offset() < guardedStatement_->minSyncedBytes_) {
      Finish(std::move(report_));
      return;
    }
    // A status without the statement would look like a refusal.
    if (foundation::SteadyNow() >= guardedStatement_->executeBefore_) {
      Finish(std::nullopt);
      return;
    }
    phase_ = Phase::Executing;
    const std::string statement = std::move(guardedStatement_->statement_);
    guardedStatement_.reset();
    Send(statement);
  }

  void Send(std::string aStatement)
  {
    const target::Query query{ std::move(aStatement) };
    connection_->Send({ &query, 1 });
  }

  void Finish(std::optional<wire::TargetReport> aReport)
  {
    if (self_ == nullptr) {
      return;
    }
    timer_.cancel();
    connection_->Close();
    // Posted, as it must not run from within a callback of the connection.
    boost::asio::post(context_,
                      [self = std::move(self_), report = std::move(aReport)] {
                        self->done_(report);
                      });
    self_ = nullptr;
  }

  boost::asio::io_context& context_;
  const target::Dialect& dialect_;
  std::optional<GuardedStatement> guardedStatement_; //!< empty once executed
  TargetRequestDone done_;
  boost::asio::steady_timer timer_;
  target::TargetConnectionPointer connection_;
  std::shared_ptr<TargetRequest> self_; //!< keeps this alive while it runs
  Phase phase_ = Phase::Reading;
  bool failed_ = false;
  std::optional<wire::TargetReport> report_;
};

} // namespace

void
RunTargetRequest(boost::asio::io_context& aContext,
                 const target::Protocol& aProtocol,
                 const target::TargetAddress& aAddress,
                 const target::Dialect& aDialect,
                 std::optional<GuardedStatement> aStatement,
                 foundation::Duration aTimeout,
                 TargetRequestDone aDone)
{
  const auto request = std::make_shared<TargetRequest>(
    aContext, aProtocol, aDialect, std::move(aStatement), std::move(aDone));
  request->Start(aAddress, aTimeout);
}

} // namespace wigeonlb::daemon::control
