#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "caller/callerserver.h"
#include "traffic/trafficshard.h"

namespace wigeonlb::daemon::traffic {

//! A mock without expectations, as the shard of these tests owns no group.
class MockOwnerListener : public OwnerGroupListener
{
public:
  MAKE_MOCK2(OnTermReleased,
             void(const foundation::GroupName&, foundation::TermEpoch),
             override);
  MAKE_MOCK1(OnWritesAcknowledged,
             void(const wire::AcknowledgedWrites&),
             override);
  MAKE_MOCK1(OnReachabilityChanged,
             void(const foundation::GroupName&),
             override);
};

//! Records the messages that were sent. Sending to a host in unreachable_
//! fails.
class RecordingPort : public ForwardPort
{
public:
  std::error_code SendForward(const foundation::HostId& aHost,
                              wire::PeerMessage aMessage) override;

  std::vector<foundation::HostId> unreachable_;
  std::deque<std::pair<foundation::HostId, wire::PeerMessage>> sent_;
};

//! A traffic shard with one caller, both run on the test's thread. The owners
//! of the group `g` are the hosts `h1` and `h2`.
class ShardFixture
{
public:
  static constexpr std::uint64_t kBoot = 41;

  ShardFixture();
  ~ShardFixture();

  //! Connects and reads up to the first ReadyForQuery.
  void Connect();
  void Query(const std::string& aSql);
  //! Runs until the next request is sent to an owner. Returns that host and the
  //! request.
  std::pair<foundation::HostId, wire::ForwardRequest> NextRequest();
  //! Begins a transaction at `h1`. Returns the number of its request.
  std::uint64_t BeginTransaction();
  //! Runs until a ForwardClose is sent to the host and returns it; empty on a
  //! timeout.
  std::optional<wire::ForwardClose> NextClose(
    const foundation::HostId& aHost,
    std::chrono::milliseconds aTimeout = std::chrono::seconds(10));
  //! Runs until a ForwardCheck is sent, and answers it.
  void AnswerCheck(bool aKnown);
  void ConfirmClose(const foundation::HostId& aFrom, std::uint64_t aRequest);
  void AnswerNotOwner(const wire::ForwardRequest& aRequest);
  //! Runs until the caller has read aText or its connection has ended. Returns
  //! all that was read since the last call.
  std::string ReadUntil(const std::string& aText);

  void SendFrames(const wire::ForwardRequest& aRequest,
                  std::uint64_t aSequence,
                  const std::string& aFrames);
  void SendEnd(wire::ForwardEnd aEnd);
  wire::ForwardEnd MakeEnd(const wire::ForwardRequest& aRequest,
                           wire::Outcome aOutcome) const;

  //! Publishes routes with organisations, by the key of each.
  void SetOrganisations(
    const std::map<std::string, foundation::Tenant>& aOrganisations);

  std::uint64_t ownerBoot_ = 0; //!< of the owner that answers
  std::string user_ = "u";      //!< that the caller connects as
  foundation::MetricsRegistry registry_;
  boost::asio::io_context context_;
  RecordingPort port_;
  std::unique_ptr<TrafficShard> shard_;
  boost::asio::ip::tcp::socket client_;

  bool RunUntil(const std::function<bool()>& aCondition,
                std::chrono::milliseconds aTimeout = std::chrono::seconds(10));

private:
  void ReadAvailable();

  TrafficMetrics metrics_;
  MockOwnerListener listener_;
  std::unique_ptr<caller::CallerServer> server_;
  std::uint64_t sessionNumber_ = 0; //!< of the last request
  std::string received_;
  bool ended_ = false;
};

} // namespace wigeonlb::daemon::traffic
