#pragma once

#include <functional>

#include "control.pb.h"
#include "http/httprouter.h"

namespace wigeonlb::announcements {

//! Callbacks of the routes into the daemon. They run on the HTTP server's
//! executor and must not block.
struct AnnouncementCallbacks
{
  //! Returns whether this host accepts new callers.
  std::function<bool()> isServing_;
  //! The callback receives whether the announcement is acknowledged.
  std::function<void(wire::Announcement&&, std::function<void(bool)>)>
    onAnnouncement_;
};

//! Adds `GET /healthz` (200 while serving, else 503) and `POST /announce` (200,
//! 400 with all findings, or 503 while the target isn't recorded).
void
RegisterAnnouncementRoutes(http::HttpRouter& aRouter,
                           AnnouncementCallbacks aCallbacks);

} // namespace wigeonlb::announcements
