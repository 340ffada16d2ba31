#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "core/failover/tests/singleleader.h"

//! A group whose writes are acknowledged once one replica has received them:
//! its servers with their replication and announcements, the hosts that write
//! under grants, and one control leader. Everything is drawn from a seed.
namespace wigeonlb::core::failover {

//! What a server does beside answering, which Server describes.
struct ServerLife
{
  bool isDeaf_ = false;   //!< receives nothing
  bool announces_ = true; //!< otherwise its announcements get lost
  bool counts_ = false;   //!< was acknowledged once
  bool isGone_ = false;   //!< said goodbye and ended
  foundation::Instant announcesAt_;
};

//! A host that writes while it has a grant, or takes announcements only.
struct Writer
{
  std::uint64_t boot_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t lastReply_ = 0;
  bool runs_ = true;
  foundation::TermEpoch grant_;
  foundation::Instant expires_; //!< of the grant
  foundation::TermEpoch released_;
  wire::AcknowledgedWrites told_;
  std::uint64_t known_ = 0; //!< newest known position of the primary
};

struct World
{
  Leader leader_;
  std::mt19937 random_;
  std::map<std::string, ServerLife> lives_;
  std::map<std::string, Writer> writers_;
  //! A new target is acknowledged before it is recorded as counted; off in
  //! production.
  bool acknowledgesEarly_ = false;
  std::uint64_t acknowledged_ = 0; //!< while the option was on
  int successors_ = 0;
  bool hasUnknown_ = false; //!< a server that counts and that nobody knows
  std::size_t checked_ = 0; //!< of leader_.chosen_
  std::string lost_;        //!< describes a choice without acknowledged writes
};

//! A world with the primary "b" and the replicas "a" and "c", all served.
void
BeginWorld(World& aWorld, std::uint64_t aSeed, const Guards& aGuards);

//! Runs for aTime. With aWrites, the hosts write.
void
RunWorld(World& aWorld, foundation::Duration aTime, bool aWrites);

//! One write through a host that has a grant, if there is one. It is
//! acknowledged if a replica that counts has received it. aIsAnswered: the
//! host gets the acknowledgement.
void
WriteOnce(World& aWorld, bool aIsAnswered = true);

//! The server that leads the highest term, up or not.
std::string
FindPrimary(const World& aWorld);

//! A new server with the primary's log. It begins to announce itself at once,
//! or after aSilence.
std::string
AddServer(World& aWorld, foundation::Duration aSilence);

//! The server's next announcement says whether it leaves.
void
AnnounceNow(World& aWorld, const std::string& aServer);

//! The server says goodbye and ends.
void
EndServer(World& aWorld, const std::string& aServer);

//! A server that has crashed comes back with its log, as a replica if another
//! one was promoted.
void
ReturnServer(World& aWorld, const std::string& aServer);

//! The server starts with new data under its old name.
void
RestartBlank(World& aWorld, const std::string& aServer);

//! A host is lost with its memory, or starts again.
void
ToggleWriter(World& aWorld, const std::string& aHost);

//! Sets the group's option, as a configuration does.
void
SetAcknowledge(World& aWorld, const std::string& aValue);

//! True when the group has a primary that leads and grants are issued.
bool
IsServed(const World& aWorld);

} // namespace wigeonlb::core::failover
