#include "testing/relay/relay.h"

#include <array>
#include <sstream>

namespace wigeonlb::testing::relay {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr int kIdentifyRetries = 200;
constexpr std::chrono::milliseconds kIdentifyRetryMs(10);
constexpr std::array<std::string_view, 3> kModeNames = { "open",
                                                         "silent",
                                                         "refused" };

std::vector<ProcessName>
Split(std::string_view aNames)
{
  std::vector<ProcessName> names;
  std::istringstream stream{ std::string(aNames) };
  for (ProcessName each; std::getline(stream, each, ',');) {
    names.push_back(each);
  }
  return names;
}

//! Parses a port of the loopback address, or `ip:port`. The port is 0 if the
//! text is neither.
tcp::endpoint
ParseEndpoint(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  const bool hasAddress = colon != std::string::npos;
  ErrorCode error;
  const asio::ip::address address =
    hasAddress ? asio::ip::make_address(aText.substr(0, colon), error)
               : asio::ip::address_v4::loopback();
  const int port = std::atoi(aText.c_str() + (hasAddress ? colon + 1 : 0));
  return { address, error ? std::uint16_t(0) : std::uint16_t(port) };
}

} // namespace

Relay::Relay(asio::io_context& aContext)
  : context_(aContext)
{
}

std::string
Relay::Run(const std::string& aCommand)
{
  std::istringstream words(aCommand);
  std::string verb;
  std::string first;
  std::string second;
  words >> verb >> first;
  if (verb == "route") {
    std::string destination;
    words >> destination >> second;
    return AddRoute(
      ParseEndpoint(first),
      { tcp::acceptor(context_), ParseEndpoint(destination), second });
  }
  if (verb == "process") {
    int pid = 0;
    words >> pid;
    resolver_.Add(first, pid);
    return {};
  }
  if (verb == "link") {
    std::string mode;
    int delay = 0;
    words >> second >> mode >> delay;
    return SetLinks(first, second, mode, delay);
  }
  if (verb == "heal") {
    Heal(first == "lost");
    return {};
  }
  return "unknown command: " + verb;
}

std::string
Relay::AddRoute(const tcp::endpoint& aEndpoint, Route aRoute)
{
  Route& route = routes_.emplace_back(std::move(aRoute));
  ErrorCode error;
  route.acceptor_.open(aEndpoint.protocol(), error);
  route.acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  route.acceptor_.bind(aEndpoint, error);
  if (!error) {
    route.acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return error.message();
  }
  Accept(route);
  return {};
}

void
Relay::Accept(Route& aRoute)
{
  aRoute.acceptor_.async_accept(
    [this, &aRoute](ErrorCode aError, tcp::socket aSocket) {
      if (!aError) {
        const auto connection =
          std::make_shared<Connection>(std::move(aSocket), links_);
        connections_.push_back(connection);
        Identify(connection, aRoute, kIdentifyRetries);
      }
      Accept(aRoute);
    });
}

void
Relay::Identify(const std::shared_ptr<Connection>& aConnection,
                const Route& aRoute,
                int aRetriesLeft)
{
  if (const auto name = resolver_.Find(aConnection->GetClientSocket())) {
    aConnection->Start(*name, aRoute.processName_, aRoute.destination_);
    return;
  }
  if (aRetriesLeft == 0) {
    aConnection->Close();
    return;
  }
  // A process that has just started may not have its name yet.
  const auto timer =
    std::make_shared<asio::steady_timer>(context_, kIdentifyRetryMs);
  timer->async_wait(
    [this, timer, aConnection, &aRoute, aRetriesLeft](ErrorCode /*aError*/) {
      Identify(aConnection, aRoute, aRetriesLeft - 1);
    });
}

std::string
Relay::SetLinks(std::string_view aFrom,
                std::string_view aTo,
                std::string_view aMode,
                int aDelayMs)
{
  const auto mode = std::find(kModeNames.begin(), kModeNames.end(), aMode);
  if (mode == kModeNames.end()) {
    return "unknown link mode: " + std::string(aMode);
  }
  const LinkState state{ static_cast<LinkMode>(mode - kModeNames.begin()),
                         std::chrono::milliseconds(aDelayMs) };
  for (const ProcessName& from : Split(aFrom)) {
    for (const ProcessName& to : Split(aTo)) {
      links_[{ from, to }] = state;
    }
  }
  NotifyConnections();
  return {};
}

void
Relay::Heal(bool aMarkSilentLost)
{
  for (const auto& each : connections_) {
    if (const auto connection = each.lock(); connection && aMarkSilentLost) {
      connection->MarkLostIfSilent();
    }
  }
  links_.clear();
  NotifyConnections();
}

void
Relay::NotifyConnections()
{
  std::erase_if(connections_,
                [](const auto& aEach) { return aEach.expired(); });
  // Iterates over a copy, as a connection may close when it is notified.
  for (const auto& each : std::vector(connections_)) {
    if (const auto connection = each.lock()) {
      connection->OnLinksChanged();
    }
  }
}

} // namespace wigeonlb::testing::relay
