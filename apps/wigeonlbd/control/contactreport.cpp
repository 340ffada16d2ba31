#include "control/contactreport.h"

#include <utility>

namespace wigeonlb::daemon::control {

std::optional<ContactChange>
NoteLeaderContact(LeaderContact& aContact,
                  foundation::Instant aLastReply,
                  foundation::Instant aNow)
{
  if (std::exchange(aContact.last_, aLastReply) != aLastReply) {
    const bool wasLogged = std::exchange(aContact.lostLogged_, false);
    return wasLogged ? std::optional(ContactChange::Regained) : std::nullopt;
  }
  if (aContact.lostLogged_ || aNow - aLastReply <= kLeaderSilenceMs) {
    return std::nullopt;
  }
  aContact.lostLogged_ = true;
  return ContactChange::Lost;
}

} // namespace wigeonlb::daemon::control
