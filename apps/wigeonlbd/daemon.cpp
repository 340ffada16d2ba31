#include "daemon.h"

#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "control/documentid.h"
#include "foundation/logging.h"
#include "operations/gauges.h"
#include "settings/filelimit.h"

namespace wigeonlb::daemon {

namespace {

using foundation::Duration;
using foundation::SteadyNow;

constexpr Duration kDrainTickMs = std::chrono::milliseconds(20);

//! Interval of the checks whether the settings file has changed.
constexpr Duration kFileCheckIntervalMs = std::chrono::milliseconds(1000);

constexpr Duration kGaugeIntervalMs = std::chrono::milliseconds(1000);

//! Minimum duration of a drain, so that the other hosts receive the update that
//! this host is draining.
constexpr Duration kMinDrainMs = std::chrono::milliseconds(1000);

//! Time for which a stopping control member waits until its vote is handed
//! over: a few rounds of the control members.
constexpr Duration kVoteHandOverLimitMs = std::chrono::milliseconds(2000);

//! Time after the drain deadline for the last answers to reach the callers.
constexpr Duration kLastAnswersMs = std::chrono::milliseconds(100);

std::uint64_t
MakeBootId()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

} // namespace

Daemon::Daemon(settings::DaemonSettings aSettings, Ports aPorts)
  : settings_(std::move(aSettings))
  , ports_(std::move(aPorts))
  , boot_(MakeBootId())
  , metrics_(registry_)
  , requestLog_(settings_.logRequestsPerSecond_, registry_)
{
  traffic::TrafficCallbacks callbacks;
  callbacks.sendToPeer_ = [this](const foundation::HostId& aHost,
                                 wire::PeerMessage aMessage) {
    return control_->SendForward(aHost, std::move(aMessage));
  };
  callbacks.onTermReleased_ = [this](const foundation::GroupName& aGroup,
                                     foundation::TermEpoch aTerm) {
    control_->PostReleased(aGroup, aTerm);
  };
  callbacks.onReports_ = [this](std::vector<wire::TargetReport> aReports) {
    control_->PostReports(std::move(aReports));
  };
  callbacks.requestTokens_ = [this](wire::QuotaRequest aRequest) {
    control_->PostTokenRequest(std::move(aRequest));
  };
  callbacks.onConnections_ = [this](const foundation::GroupName& aGroup,
                                    std::uint32_t aConnections) {
    control_->PostConnections(aGroup, aConnections);
  };
  recording::TraceRecorder* const trace =
    settings_.traceFile_.empty() ? nullptr : &recorder_;
  callbacks.trace_ = trace;
  callbacks.log_ = &requestLog_;
  traffic_ = std::make_unique<traffic::TrafficRuntime>(settings_,
                                                       boot_,
                                                       metrics_,
                                                       ports_.protocols_,
                                                       ports_.classify_,
                                                       std::move(callbacks));
  const target::Login login{
    settings_.targetUser_, target::MakeApplicationName(settings_.hostId_, boot_)
  };
  control_ = std::make_unique<control::ControlRuntime>(
    settings_,
    boot_,
    *ports_.protocols_.targets_,
    ports_.makePromotion_(settings_, login),
    *traffic_,
    trace);
}

Daemon::~Daemon()
{
  control_->Stop();
  traffic_->Stop();
}

bool
Daemon::Start(foundation::Findings& aFindings)
{
  settings::RaiseFileLimit(settings_.controlMembers_.size(), aFindings);
  if (!aFindings.empty() || !StartRecording(aFindings)) {
    return false;
  }
  ports_.registerRoutes_(announceRouter_, MakeInterface());
  operations_ =
    std::make_unique<operations::Operations>(*control_, *traffic_, registry_);
  operations_->RegisterRoutes(operatorRouter_);

  if (!StartEndpoint(announceServer_,
                     settings_.announceAddress_,
                     announceRouter_,
                     "--announce-address",
                     aFindings) ||
      !StartEndpoint(operatorServer_,
                     settings_.operatorAddress_,
                     operatorRouter_,
                     "--operator-address",
                     aFindings)) {
    return false;
  }
  if (control_->Start(aFindings)) {
    return false;
  }
  if (const std::error_code error = traffic_->Start()) {
    foundation::AddFinding(aFindings, "--caller-address", error.message());
    return false;
  }
  foundation::LogChange("daemon",
                        "serving",
                        { { "host", settings_.hostId_ },
                          { "data_centre", settings_.dataCentre_ } });
  return true;
}

ControlInterface
Daemon::MakeInterface()
{
  ControlInterface interface;
  interface.isServing_ = [this] {
    // A host without a configuration could only refuse its callers.
    const bool serving = !draining_ && control_->Agent().KnowsConfiguration() &&
                         control_->MayAcceptCallers();
    control_->NoteProbe(serving);
    return serving;
  };
  interface.onAnnouncement_ = [this](wire::Announcement&& aAnnouncement,
                                     std::function<void(bool)> aDone) {
    control_->OnAnnouncement(std::move(aAnnouncement), std::move(aDone));
  };
  interface.onTargetRemoved_ =
    [this](const foundation::TargetName& aTarget,
           std::optional<std::uint64_t> aIncarnation) {
      control_->Agent().OnTargetRemoved(aTarget, aIncarnation);
    };
  interface.adopt_ = [this](wire::NumberedConfiguration aConfiguration,
                            const std::function<void(AdoptionResult)>& aDone) {
    Adopt(std::move(aConfiguration), aDone);
  };
  interface.readDocument_ =
    [this](const operations::Operations::DocumentDone& aDone) {
      operations_->ReadDocument(aDone);
    };
  return interface;
}

void
Daemon::Adopt(wire::NumberedConfiguration aConfiguration,
              const std::function<void(AdoptionResult)>& aDone)
{
  wire::ConfigurationChange change;
  const std::string documentId =
    control::MakeDocumentId(aConfiguration.number(), aConfiguration.document());
  change.set_change_id(documentId);
  change.set_operator_name("numbered configuration");
  *change.add_operations()->mutable_adopt() = std::move(aConfiguration);
  control_->SubmitChange(
    std::move(change),
    [aDone, documentId](const control::ChangeAnswer& aAnswer) {
      if (aAnswer.outcome_ != control::ChangeOutcome::Decided) {
        aDone({ AdoptionOutcome::Unknown,
                "no control leader has decided on the configuration",
                documentId });
        return;
      }
      aDone({ aAnswer.result_.accepted() ? AdoptionOutcome::Accepted
                                         : AdoptionOutcome::Refused,
              aAnswer.result_.message(),
              documentId });
    });
}

void
Daemon::SetReload(Reload aReload, std::string aFile)
{
  reload_ = std::move(aReload);
  if (!aFile.empty()) {
    fileMonitor_.emplace(std::move(aFile));
  }
}

//! Applies the log level and the control seeds. All other settings take effect
//! at the next start.
void
Daemon::ReloadSettings()
{
  const auto read = reload_ ? reload_() : std::nullopt;
  if (!read) {
    foundation::LogWarning("daemon", "settings-kept");
    return;
  }
  foundation::SetUpLogging(read->logLevel_);
  control_->PostSeeds(read->controlMembers_);
  foundation::LogChange(
    "daemon",
    "settings-read",
    { { "log_level", read->logLevel_ },
      { "control_seeds", std::to_string(read->controlSeeds_.size()) } });
}

void
Daemon::CheckSettingsFile()
{
  if (!fileMonitor_) {
    return;
  }
  if (fileMonitor_->HasChanged()) {
    ReloadSettings();
  }
  fileMonitorTimer_.expires_after(kFileCheckIntervalMs);
  fileMonitorTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      CheckSettingsFile();
    }
  });
}

bool
Daemon::StartRecording(foundation::Findings& aFindings)
{
  if (settings_.traceFile_.empty()) {
    return true;
  }
  if (const std::error_code error = recorder_.Start(settings_.traceFile_,
                                                    settings_.traceLimit_,
                                                    settings_.hostId_,
                                                    boot_)) {
    foundation::AddFinding(
      aFindings, "--trace-file", settings_.traceFile_ + ": " + error.message());
    return false;
  }
  return true;
}

bool
Daemon::StartEndpoint(std::unique_ptr<http::HttpServer>& aServer,
                      const settings::ListenAddress& aAddress,
                      const http::HttpRouter& aRouter,
                      std::string_view aFlag,
                      foundation::Findings& aFindings)
{
  aServer = std::make_unique<http::HttpServer>(
    control_->Context(),
    aAddress.ip_,
    aAddress.port_,
    [&aRouter](const http::HttpRequest& aRequest,
               http::ResponseCallback aRespond) {
      aRouter.Handle(aRequest, std::move(aRespond));
    });
  if (const std::error_code error = aServer->Start()) {
    foundation::AddFinding(aFindings, std::string(aFlag), error.message());
    return false;
  }
  return true;
}

int
Daemon::Run()
{
  boost::asio::signal_set signals(signals_, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait = [&] {
    signals.async_wait(
      [&](const boost::system::error_code& aError, int aSignal) {
        if (!aError) {
          OnSignal(aSignal);
          wait();
        }
      });
  };
  wait();
  CheckSettingsFile();
  ExportGauges();
  signals_.run();
  control_->Stop();
  traffic_->Stop();
  recorder_.Stop();
  foundation::LogChange(
    "daemon", "stopped", { { "exit_code", std::to_string(exitCode_) } });
  return exitCode_;
}

void
Daemon::ExportGauges()
{
  operations::ExportPeerGauges(control_->Links(), registry_);
  operations::ExportTrafficGauges(*traffic_, registry_);
  gaugeTimer_.expires_after(kGaugeIntervalMs);
  gaugeTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      ExportGauges();
    }
  });
}

void
Daemon::OnSignal(int aSignal)
{
  if (aSignal == SIGHUP) {
    ReloadSettings();
    return;
  }
  if (draining_) {
    exitCode_ = 1;
    foundation::LogWarning("daemon", "stopped-by-second-signal");
    signals_.stop();
    return;
  }
  StartDraining();
}

void
Daemon::StartDraining()
{
  draining_ = true;
  drainStarted_ = SteadyNow();
  foundation::LogChange(
    "daemon",
    "draining",
    { { "sessions", std::to_string(traffic_->SessionCount()) } });
  control_->PostDraining();
  OnDrainTick();
}

void
Daemon::OnDrainTick()
{
  const Duration waited = SteadyNow() - drainStarted_;
  DrainCallers(waited);
  // The other hosts have learned by then that this host is draining.
  if (!requestsRefused_ && callersDraining_ && waited >= kMinDrainMs) {
    requestsRefused_ = true;
    traffic_->RefuseRequests();
  }
  const bool mayEnd = control_->MayEnd() || waited >= kVoteHandOverLimitMs;
  if (IsDrained() && mayEnd && StopEndpoints()) {
    foundation::LogChange("daemon", "drained", DescribeDrain());
    control_->PostReleaseAll(
      [this] { boost::asio::post(signals_, [this] { signals_.stop(); }); });
    return;
  }
  if (waited >= settings_.drainDeadline_ && !requestsAbandoned_) {
    requestsAbandoned_ = true;
    exitCode_ = 1;
    foundation::LogWarning("daemon", "drain-deadline", DescribeDrain());
    traffic_->AbandonRequests();
  }
  if (waited >= settings_.drainDeadline_ + kLastAnswersMs) {
    signals_.stop();
    return;
  }
  traffic_->UpdateReleased();
  drainTimer_.expires_after(kDrainTickMs);
  drainTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      OnDrainTick();
    }
  });
}

void
Daemon::DrainCallers(Duration aWaited)
{
  const bool halfOver = aWaited >= GetTransactionDrain();
  // Sessions are kept until the balancer has removed this host from its
  // rotation, as their callers would come back to it.
  if (!callersDraining_ &&
      (halfOver || control_->IsOutOfRotation(drainStarted_))) {
    callersDraining_ = true;
    traffic_->CloseIdleCallers();
  }
  // Open transactions are ended in time to leave the rest for requests in
  // progress.
  if (!transactionsEnded_ && halfOver) {
    transactionsEnded_ = true;
    traffic_->EndTransactions();
  }
  // A balancer without enough hosts in rotation still sends callers.
  if (callersDraining_ && !acceptingStopped_ &&
      (halfOver || traffic_->SessionCount() == 0)) {
    acceptingStopped_ = true;
    traffic_->StopAccepting();
  }
}

Duration
Daemon::GetTransactionDrain() const
{
  return settings_.transactionDrain_ > Duration::zero()
           ? settings_.transactionDrain_
           : settings_.drainDeadline_ / 2;
}

//! Returns whether the endpoints have answered all requests that have arrived.
bool
Daemon::StopEndpoints()
{
  announceServer_->Stop();
  operatorServer_->Stop();
  return announceServer_->ConnectionCount() == 0 &&
         operatorServer_->ConnectionCount() == 0;
}

bool
Daemon::IsDrained() const
{
  return acceptingStopped_ && !traffic_->IsAccepting() &&
         traffic_->SessionCount() == 0 && traffic_->IsReleased();
}

std::vector<foundation::LogField>
Daemon::DescribeDrain() const
{
  const Duration waited = SteadyNow() - drainStarted_;
  return {
    { "sessions", std::to_string(traffic_->SessionCount()) },
    { "owner_released", traffic_->IsReleased() ? "yes" : "no" },
    { "waited_ms", std::to_string(foundation::ToMilliseconds(waited)) },
  };
}

} // namespace wigeonlb::daemon
