#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/failover/failover.h"

namespace wigeonlb::core::failover {

//! Of each target, for all hosts together.
constexpr std::uint32_t kConnectionLimit = 20;

//! A target with its answers to reads and promotion requests.
struct Server
{
  std::uint64_t adopted_ = 2;
  std::uint64_t offset_ = 0; //!< synced
  bool primary_ = false;
  bool answers_ = true;
  bool refuses_ = false; //!< promotions
  bool counted_ = true;
  bool diverged_ = false; //!< as its status reports
  bool leaving_ = false;
  std::string address_;
  std::uint64_t incarnation_ = 1;
};

//! A single leader. The servers' answers are fed to it immediately.
struct Leader
{
  std::map<std::string, Server> servers_;
  std::string acknowledge_ = "majority";
  wire::ControlState control_;
  FailoverState state_;
  Guards guards_;
  foundation::Instant now_{ std::chrono::seconds(10) };
  std::deque<FailoverEvent> events_;
  std::uint64_t index_ = 0;
  std::uint64_t heartbeats_ = 0;
  std::vector<std::string> chosen_;
  foundation::Instant lastChosenAt_;
  std::function<void(const Reply&)> onReply_;
  std::function<void(const SendRevoke&)> onRevoke_;
  std::function<void(const std::string&)> onPromoted_;
};

const wire::GroupState&
GetGroup(const Leader& aLeader);

//! Fences the group "g", with the primary "b" of term 2, and runs the leader
//! for aWithin, or until a new primary is confirmed. Term 2 began at offset
//! 100, after term 1 of "a".
void
RunFenced(Leader& aLeader, foundation::Duration aWithin);

//! The server's status, as a host or the leader reads it.
wire::TargetReport
MakeReport(const std::string& aName, const Server& aServer);

//! Passes an event to the leader, and the answers to what it asks for.
void
Feed(Leader& aLeader, const FailoverEvent& aEvent);

//! Runs on as RunFenced does.
void
Continue(Leader& aLeader, foundation::Duration aWithin);

//! Begins with the group live under "b", and runs the leader for aTime.
void
RunLive(Leader& aLeader, foundation::Duration aTime);

//! Runs the leader for aTime, whatever happens.
void
RunFor(Leader& aLeader, foundation::Duration aTime);

//! A server announces itself, or that it is gone for good.
void
Announce(Leader& aLeader, const std::string& aServer, bool aGone);

//! Another member leads from now on, which knows the replicated state only.
void
ChangeLeader(Leader& aLeader);

} // namespace wigeonlb::core::failover
