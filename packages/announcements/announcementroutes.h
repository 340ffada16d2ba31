#pragma once

#include <functional>

#include "control.pb.h"
#include "http/httprouter.h"

namespace wigeonlb::announcements {

//! What the routes ask of the daemon. Called on the server's
//! executor; must not block.
struct AnnouncementCallbacks
{
  //! Whether this host takes new callers.
  std::function<bool()> isServing_;
  std::function<void(wire::Announcement&&)> onAnnouncement_;
};

//! Adds `GET /healthz` (200 while serving, else 503) and `POST /announce` (200,
//! or 400 with every finding).
void
RegisterAnnouncementRoutes(http::HttpRouter& aRouter,
                           AnnouncementCallbacks aCallbacks);

} // namespace wigeonlb::announcements
