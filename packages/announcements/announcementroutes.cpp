#include "announcements/announcementroutes.h"

#include <utility>

#include "announcements/announcement.h"

namespace wigeonlb::announcements {

namespace {

http::HttpResponse
AnswerHealth(const AnnouncementCallbacks& aCallbacks)
{
  if (aCallbacks.isServing_()) {
    return { .status_ = 200, .body_ = "serving\n" };
  }
  return { .status_ = 503, .body_ = "draining\n" };
}

void
HandleAnnouncement(const AnnouncementCallbacks& aCallbacks,
                   const http::HttpRequest& aRequest,
                   const http::ResponseCallback& aRespond)
{
  foundation::Findings findings;
  wire::Announcement announcement = ParseAnnouncement(aRequest.body_, findings);
  if (!findings.empty()) {
    aRespond({ .status_ = 400, .body_ = foundation::ToString(findings) });
    return;
  }
  aCallbacks.onAnnouncement_(
    std::move(announcement), [aRespond](bool aIsAcknowledged) {
      aRespond(aIsAcknowledged
                 ? http::HttpResponse{ .status_ = 200, .body_ = "announced\n" }
                 : http::HttpResponse{ .status_ = 503,
                                       .body_ = "not recorded yet\n" });
    });
}

} // namespace

void
RegisterAnnouncementRoutes(http::HttpRouter& aRouter,
                           AnnouncementCallbacks aCallbacks)
{
  aRouter.Add("GET",
              "/healthz",
              [aCallbacks](const http::HttpRequest&, const auto& aRespond) {
                aRespond(AnswerHealth(aCallbacks));
              });
  aRouter.Add(
    "POST",
    "/announce",
    [aCallbacks](const http::HttpRequest& aRequest, const auto& aRespond) {
      HandleAnnouncement(aCallbacks, aRequest, aRespond);
    });
}

} // namespace wigeonlb::announcements
