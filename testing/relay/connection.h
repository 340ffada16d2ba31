#pragma once

#include <array>
#include <deque>
#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "testing/relay/linktable.h"

namespace wigeonlb::testing::relay {

//! One connection through the relay. Bytes of each direction are queued until
//! the delay of their link has passed and the link is open. The end of the
//! connection is queued in the same way.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(boost::asio::ip::tcp::socket aAccepted, const LinkTable& aLinks);

  //! Connects to the destination once both directions are open.
  void Start(ProcessName aFrom,
             ProcessName aTo,
             const boost::asio::ip::tcp::endpoint& aDestination);
  //! Resumes forwarding after links changed. Resets the connection if one of
  //! its links is refused.
  void OnLinksChanged();
  //! Stops forwarding permanently, without closing the connection, if one of
  //! its links is silent now.
  void MarkLostIfSilent();
  //! Resets both sides.
  void Close();

  const boost::asio::ip::tcp::socket& GetClientSocket() const
  {
    return clientSocket_;
  }
  bool IsClosed() const { return closed_; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  //! Bytes that were read; empty at the end of the connection.
  struct Chunk
  {
    std::chrono::steady_clock::time_point due_;
    std::string bytes_;
  };

  struct Direction
  {
    Direction(Socket& aInput, Socket& aOutput);

    Socket& input_;
    Socket& output_;
    boost::asio::steady_timer timer_;
    ProcessName from_;
    ProcessName to_;
    std::deque<Chunk> queue_;
    bool reading_ = false;
    bool writing_ = false;
    bool inputEnded_ = false;
    std::array<char, std::size_t{ 64 } * 1024> buffer_{};
  };

  bool HasMode(LinkMode aMode) const;
  void Connect();
  void Pump(Direction& aDirection);
  void Read(Direction& aDirection);
  void Write(Direction& aDirection);

  const LinkTable& links_;
  Socket clientSocket_;
  Socket serverSocket_;
  boost::asio::ip::tcp::endpoint destination_;
  Direction toServer_;
  Direction toClient_;
  bool connecting_ = false;
  bool connected_ = false;
  bool lost_ = false;
  bool closed_ = false;
};

} // namespace wigeonlb::testing::relay
