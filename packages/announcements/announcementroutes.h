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
  std::function<void(wire::Announcement&&)> onAnnouncement_;
};

//! Adds `GET /healthz` (200 while serving, else 503) and `POST /announce` (200,
//! or 400 with all findings).
void
RegisterAnnouncementRoutes(http::HttpRouter& aRouter,
                           AnnouncementCallbacks aCallbacks);

} // namespace wigeonlb::announcements
