#pragma once

#include <list>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "testing/relay/connection.h"
#include "testing/relay/processresolver.h"

namespace wigeonlb::testing::relay {

//! Forwards connections on loopback between named processes. NAMES is a
//! comma-separated list of process names. The commands are, one per line:
//!   route ADDRESS DESTINATION NAME     accepts connections to NAME at ADDRESS;
//!                                      both are a port of 127.0.0.1, or
//!                                      ip:port
//!   process NAME PID                   names a process that connects
//!   link NAMES NAMES open|silent|refused DELAY-MS
//!                                      sets the links from left to right
//!   heal open|lost                     opens every link; connections that were
//!                                      silent resume, or stay silent with
//!                                      `lost`
class Relay
{
public:
  explicit Relay(boost::asio::io_context& aContext);

  //! Runs a command. Returns the error message, or an empty text on success.
  std::string Run(const std::string& aCommand);

private:
  struct Route
  {
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint destination_;
    ProcessName processName_;
  };

  std::string AddRoute(const boost::asio::ip::tcp::endpoint& aEndpoint,
                       Route aRoute);
  void Accept(Route& aRoute);
  void Identify(const std::shared_ptr<Connection>& aConnection,
                const Route& aRoute,
                int aRetriesLeft);
  std::string SetLinks(std::string_view aFrom,
                       std::string_view aTo,
                       std::string_view aMode,
                       int aDelayMs);
  void Heal(bool aMarkSilentLost);
  void NotifyConnections();

  boost::asio::io_context& context_;
  ProcessResolver resolver_;
  LinkTable links_;
  std::list<Route> routes_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

} // namespace wigeonlb::testing::relay
