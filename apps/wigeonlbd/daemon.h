#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/controlruntime.h"
#include "http/httprouter.h"
#include "http/httpserver.h"
#include "operations/operations.h"
#include "ports.h"
#include "recording/tracerecorder.h"
#include "settings/daemonsettings.h"
#include "settings/settingsfile.h"
#include "traffic/trafficruntime.h"

namespace wigeonlb::daemon {

//! The whole process: control thread, traffic threads, the HTTP endpoints for
//! announcements and operators, and the graceful stop.
class Daemon
{
public:
  Daemon(settings::DaemonSettings aSettings, Ports aPorts);
  ~Daemon();

  //! Opens all files and endpoints and starts the threads. Returns false, with
  //! findings that name the setting, if one can't be used.
  bool Start(foundation::Findings& aFindings);

  //! Serves until a signal; returns the exit code.
  int Run();

  //! Called on SIGHUP and when the settings file has changed. Returns the
  //! current settings, or nothing if they have findings.
  using Reload = std::function<std::optional<settings::DaemonSettings>()>;
  void SetReload(Reload aReload, std::string aFile);

private:
  bool StartRecording(foundation::Findings& aFindings);
  ControlInterface MakeInterface();
  void Adopt(wire::NumberedConfiguration aConfiguration,
             const std::function<void(AdoptionResult)>& aDone);
  void OnSignal(int aSignal);
  void ReloadSettings();
  void CheckSettingsFile();
  void ExportGauges();
  void StartDraining();
  void OnDrainTick();
  void DrainCallers(foundation::Duration aWaited);
  bool IsDrained() const;
  bool MayLeaveControl(foundation::Duration aWaited) const;
  bool StopEndpoints();
  foundation::Duration GetTransactionDrain() const;
  std::vector<foundation::LogField> DescribeDrain() const;
  bool StartEndpoint(std::unique_ptr<http::HttpServer>& aServer,
                     const settings::ListenAddress& aAddress,
                     const http::HttpRouter& aRouter,
                     std::string_view aFlag,
                     foundation::Findings& aFindings);

  settings::DaemonSettings settings_;
  Ports ports_;
  Reload reload_;
  std::optional<settings::FileMonitor> fileMonitor_;
  std::uint64_t boot_; //!< random id of this process
  foundation::MetricsRegistry registry_;
  traffic::TrafficMetrics metrics_;
  traffic::RequestLog requestLog_;
  recording::TraceRecorder recorder_;
  std::unique_ptr<control::ControlRuntime> control_;
  std::unique_ptr<traffic::TrafficRuntime> traffic_;
  std::unique_ptr<operations::Operations> operations_;
  http::HttpRouter announceRouter_;
  http::HttpRouter operatorRouter_;
  std::unique_ptr<http::HttpServer> announceServer_;
  std::unique_ptr<http::HttpServer> operatorServer_;
  boost::asio::io_context signals_{ 1 };
  boost::asio::steady_timer drainTimer_{ signals_ };
  boost::asio::steady_timer gaugeTimer_{ signals_ };
  boost::asio::steady_timer fileMonitorTimer_{ signals_ };
  bool callersDraining_ = false;  //!< sessions are closed as they become idle
  bool acceptingStopped_ = false; //!< of callers
  bool transactionsEnded_ = false;
  bool requestsRefused_ = false;   //!< of entry hosts
  bool requestsAbandoned_ = false; //!< of callers, at the drain deadline
  std::atomic<bool> draining_ = false;
  foundation::Instant drainStarted_;
  int exitCode_ = 0;
};

} // namespace wigeonlb::daemon
