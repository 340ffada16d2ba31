#pragma once

#include <map>
#include <optional>

#include "control.pb.h"
#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "foundation/tokenbucket.h"

//! Log lines about the configurations that a control member gives to hosts.
namespace wigeonlb::daemon::control {

//! Time for which a host may lack a revision of the leader's before this is
//! logged. A change normally reaches each host with the next heartbeat.
constexpr foundation::Duration kBehindMs = std::chrono::milliseconds(2000);

//! Lines per second about configurations that were sent; four seconds of them
//! may be written at once.
constexpr std::uint64_t kSentLinesPerSecond = 20;

//! Hosts that have reported an older revision than the leader's.
struct HostsBehind
{
  struct Entry
  {
    foundation::Instant since_;
    foundation::Revision newest_ = 0; //!< at that time
    bool logged_ = false;
  };
  std::map<foundation::HostId, Entry> hosts_;
};

enum class BehindChange
{
  Behind,   //!< for longer than kBehindMs
  CaughtUp, //!< after that was reported
};

//! Notes the revision in force that a host has reported. Returns a change that
//! is to be logged.
std::optional<BehindChange>
NoteRevision(HostsBehind& aHosts,
             const foundation::HostId& aHost,
             foundation::Revision aInForce,
             foundation::Revision aNewest,
             foundation::Instant aNow);

//! What a member knew when it gave a configuration to a host.
struct SenderState
{
  std::uint64_t index_ = 0; //!< of the last entry that it has applied
  std::uint64_t term_ = 0;  //!< of that entry
  bool confirmed_ = false;  //!< under the leader's lease
};

//! Logs which configuration is given to which host, at a limited rate.
class SentConfigurationLog
{
public:
  void Write(const foundation::HostId& aHost,
             const wire::HeartbeatReply& aConfiguration,
             const SenderState& aSender,
             foundation::Instant aNow);

private:
  std::optional<foundation::TokenBucket> budget_;
  std::uint64_t leftOut_ = 0; //!< lines since the last one
};

} // namespace wigeonlb::daemon::control
