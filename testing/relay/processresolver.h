#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "testing/relay/linktable.h"

namespace wigeonlb::testing::relay {

//! Finds the process that opened a connection on loopback. Every process
//! connects to the same relay port of a destination, so the port does not
//! identify the process.
class ProcessResolver
{
public:
  ProcessResolver();
  ~ProcessResolver();
  ProcessResolver(const ProcessResolver&) = delete;
  ProcessResolver& operator=(const ProcessResolver&) = delete;

  //! Assigns the name to a process. A restarted process must be added again.
  void Add(const ProcessName& aName, int aPid);

  //! The process at the other end of an accepted connection, or empty if that
  //! process has no name.
  std::optional<ProcessName> Find(
    const boost::asio::ip::tcp::socket& aAccepted);

private:
  std::uint64_t FindInode(const boost::asio::ip::tcp::endpoint& aFrom,
                          const boost::asio::ip::tcp::endpoint& aTo) const;
  void ScanSockets();

  int netlink_ = -1;
  std::map<ProcessName, int> pids_;
  std::map<std::uint64_t, ProcessName> nameByInode_;
};

} // namespace wigeonlb::testing::relay
