#include "testing/standin/announcer.h"

#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

#include "http/httpclient.h"

namespace wigeonlb::testing::standin {

bool
Announce(State& aState,
         const std::string& aHost,
         const std::string& aAddress,
         bool aLeaving)
{
  constexpr std::chrono::milliseconds kTimeoutMs(500);
  constexpr int kOk = 200;
  const Settings settings = aState.GetSettings();
  const nlohmann::json body = {
    { "group", settings.group_ },
    { "target", settings.target_ },
    { "address", aAddress },
    { "data_centre", settings.dataCentre_ },
    { "slots", settings.slots_ },
    { "connection_limit", settings.connections_ },
    { "incarnation", settings.incarnation_ },
    { "leaving", aLeaving },
    { "dialect", "standin" },
    { "can_fence", true },
  };
  const auto result = http::HttpClient::Request(
    aHost, "POST", "/announce", body.dump(), kTimeoutMs);
  return !result.error_ && result.response_.status_ == kOk;
}

void
KeepAnnouncing(State& aState,
               const std::string& aHost,
               const std::string& aAddress)
{
  while (true) {
    Announce(aState, aHost, aAddress, false);
    std::this_thread::sleep_for(aState.GetSettings().announceInterval_);
  }
}

} // namespace wigeonlb::testing::standin
