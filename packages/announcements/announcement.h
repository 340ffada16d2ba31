#pragma once

#include <string_view>

#include "control.pb.h"
#include "foundation/findings.h"

namespace wigeonlb::announcements {

//! Reads an announcement from a JSON object whose names are the fields of
//! wire::Announcement. Adds a finding for each thing that is wrong, its place a
//! JSON pointer; the result counts only if none was added.
//! NOTE Unknown names are findings: a misspelt `leaving` would go unseen.
wire::Announcement
ParseAnnouncement(std::string_view aJson, foundation::Findings& aFindings);

} // namespace wigeonlb::announcements
