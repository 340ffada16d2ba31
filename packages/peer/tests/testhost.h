#pragma once

#include <catch2/catch.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>

#include "peer/peerlinks.h"

namespace wigeonlb::peer {

inline constexpr std::chrono::seconds kWaitLimitSeconds{ 20 };

//! Links of one host, with the messages and events that they delivered.
struct TestHost
{
  explicit TestHost(const std::string& aHost,
                    PeerLinksSettings aSettings = {},
                    const std::string& aAddress = "127.0.0.1:0")
  {
    aSettings.host_ = aHost;
    aSettings.boot_ = aSettings.boot_ == 0 ? 7 : aSettings.boot_;
    aSettings.listenAddress_ = aAddress;
    if (aSettings.pingInterval_ == PeerLinksSettings{}.pingInterval_) {
      aSettings.pingInterval_ = std::chrono::milliseconds(20);
    }
    if (aSettings.lostAfter_ == PeerLinksSettings{}.lostAfter_) {
      aSettings.lostAfter_ = std::chrono::milliseconds(300);
    }
    links_ = std::make_unique<PeerLinks>(aSettings, Callbacks());
    REQUIRE_FALSE(links_->Start());
  }

  PeerLinksCallbacks Callbacks()
  {
    return {
      .onMessage_ =
        [this](wire::PeerMessage&& aMessage) {
          Update([&] { messages_.push_back(std::move(aMessage)); });
          if (onMessage_) {
            onMessage_();
          }
        },
      .onPeerReachable_ =
        [this](const std::string& aHost) {
          Update([&] { reachable_.insert(aHost); });
        },
      .onPeerLost_ =
        [this](const std::string& aHost) {
          Update([&] {
            reachable_.erase(aHost);
            lost_.insert(aHost);
          });
        },
      .onPeerRestarted_ =
        [this](const std::string& aHost, std::uint64_t aBoot) {
          Update([&] { restarted_[aHost] = aBoot; });
        },
    };
  }

  template<typename Change>
  void Update(Change aChange)
  {
    const std::lock_guard lock(mutex_);
    aChange();
    changed_.notify_all();
  }

  template<typename Condition>
  bool WaitUntil(Condition aCondition)
  {
    std::unique_lock lock(mutex_);
    const auto end = std::chrono::steady_clock::now() + kWaitLimitSeconds;
    while (!aCondition() && std::chrono::steady_clock::now() < end) {
      changed_.wait_for(lock, std::chrono::milliseconds(10));
    }
    return aCondition();
  }

  bool WaitReachable(const std::string& aHost, bool aWanted)
  {
    return WaitUntil([&] { return reachable_.contains(aHost) == aWanted; });
  }

  bool WaitMessages(std::size_t aCount)
  {
    return WaitUntil([&] { return messages_.size() >= aCount; });
  }

  PeerEndpoint Endpoint(const std::string& aHost) const
  {
    return { aHost, links_->BoundAddress() };
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<wire::PeerMessage> messages_;
  std::set<std::string> reachable_;
  std::set<std::string> lost_;
  std::map<std::string, std::uint64_t> restarted_; //!< present boots
  std::function<void()> onMessage_; //!< called on the link thread
  std::unique_ptr<PeerLinks> links_;
};

inline void
Connect(TestHost& aLeft, TestHost& aRight)
{
  const PeerEndpoint peers[] = { aLeft.Endpoint("left"),
                                 aRight.Endpoint("right") };
  aLeft.links_->SetPeers(peers);
  aRight.links_->SetPeers(peers);
  REQUIRE_FALSE(aLeft.links_->CheckReachability("right"));
  REQUIRE_FALSE(aRight.links_->CheckReachability("left"));
  REQUIRE(aLeft.WaitReachable("right", true));
  REQUIRE(aRight.WaitReachable("left", true));
}

inline wire::PeerMessage
Frames(std::uint64_t aRequest, std::size_t aBytes = 1)
{
  wire::PeerMessage message;
  message.mutable_forward_frames()->set_request(aRequest);
  message.mutable_forward_frames()->set_frames(std::string(aBytes, 'x'));
  return message;
}

} // namespace wigeonlb::peer
