#pragma once

#include <chrono>
#include <optional>

#include "foundation/clock.h"

//! Decides when a host logs that it has lost or regained contact with the
//! control leader.
namespace wigeonlb::daemon::control {

//! Time without a reply of a leader after which this is logged. An election
//! takes less.
constexpr foundation::Duration kLeaderSilenceMs =
  std::chrono::milliseconds(3000);

struct LeaderContact
{
  foundation::Instant last_; //!< last reply of a leader, or the start
  bool lostLogged_ = false;
};

enum class ContactChange
{
  Lost,     //!< for longer than kLeaderSilenceMs
  Regained, //!< after that was reported
};

//! Compares the last reply of a leader with what is known. Returns a change
//! that is to be logged.
std::optional<ContactChange>
NoteLeaderContact(LeaderContact& aContact,
                  foundation::Instant aLastReply,
                  foundation::Instant aNow);

} // namespace wigeonlb::daemon::control
