#include <cstdlib>
#include <iostream>
#include <thread>

#include <boost/asio/signal_set.hpp>

#include "caller/callerserver.h"
#include "foundation/logging.h"
#include "testing/standin/announcer.h"
#include "testing/standin/replication.h"
#include "testing/standin/settings.h"
#include "testing/standin/standinserver.h"

namespace wigeonlb::testing::standin {

namespace {

// Splits address:port; the port is 0 if the text has none.
caller::CallerServerOptions
ParseServerOptions(const std::string& aListen)
{
  const std::size_t colon = aListen.rfind(':');
  caller::CallerServerOptions options;
  options.address_ = aListen.substr(0, colon);
  if (colon != std::string::npos) {
    options.port_ =
      static_cast<std::uint16_t>(std::atoi(aListen.c_str() + colon + 1));
  }
  return options;
}

void
StartThreads(State& aState, const Settings& aSettings, std::string aAddress)
{
  std::thread([&aState] { aState.Replay(); }).detach();
  for (const std::string& peer : aSettings.peers_) {
    std::thread([&aState, peer] { PullFromPeer(aState, peer); }).detach();
  }
  for (const std::string& host : aSettings.announce_) {
    std::thread([&aState, host, aAddress] {
      KeepAnnouncing(aState, host, aAddress);
    }).detach();
  }
}

int
Run(const Settings& aSettings)
{
  State state(aSettings);
  boost::asio::io_context context;
  StandinServer observer(state);
  const caller::CallerWorker worker{ &context, &observer };
  caller::CallerServer server({ &worker, 1 },
                              ParseServerOptions(aSettings.listen_));
  if (const auto error = server.Listen()) {
    std::cerr << aSettings.listen_ << ": " << error.message() << '\n';
    return 2;
  }
  const std::string listening = ParseServerOptions(aSettings.listen_).address_ +
                                ":" + std::to_string(server.Port());
  const std::string address = aSettings.announcedAddress_.empty()
                                ? listening
                                : aSettings.announcedAddress_;
  std::cout << "listening on " << listening << std::endl;
  StartThreads(state, aSettings, address);
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](const auto& aError, int) {
    for (const std::string& host : aSettings.announce_) {
      if (!aError) {
        Announce(state, host, address, true);
      }
    }
    // Skips destructors: the detached threads still use these objects.
    std::_Exit(0);
  });
  context.run();
  return 0;
}

} // namespace

} // namespace wigeonlb::testing::standin

int
main(int argc, char** argv)
{
  using namespace wigeonlb;
  foundation::SetUpLogging("info");
  testing::standin::Settings settings;
  foundation::Findings findings;
  if (!testing::standin::ReadSettings(argc, argv, settings, findings)) {
    return 0;
  }
  if (!findings.empty()) {
    std::cerr << foundation::ToString(findings);
    return 2;
  }
  return testing::standin::Run(settings);
}
