#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "testing/relay/linktable.h"

namespace wigeonlb::testing::relay {

//! Tells which process opened a connection on loopback. Every process connects
//! to the same relay port of a destination, so the port alone doesn't tell.
class ProcessResolver
{
public:
  ProcessResolver();
  ~ProcessResolver();
  ProcessResolver(const ProcessResolver&) = delete;
  ProcessResolver& operator=(const ProcessResolver&) = delete;

  //! Names a process; a restarted one is named again.
  void Add(const ProcessName& aName, int aPid);

  //! The process at the other end, or empty if it is none of those named.
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
