#pragma once

#include <string_view>

#include "control.pb.h"
#include "foundation/findings.h"

namespace wigeonlb::announcements {

//! Parses an announcement from a JSON object whose keys are the fields of
//! wire::Announcement. Adds one finding for each error, with a JSON pointer as
//! its location; the result is valid only if none was added.
//! NOTE Unknown keys are findings because a misspelt `leaving` would otherwise
//! be ignored.
wire::Announcement
ParseAnnouncement(std::string_view aJson, foundation::Findings& aFindings);

} // namespace wigeonlb::announcements
