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

http::HttpResponse
AnswerAnnouncement(const AnnouncementCallbacks& aCallbacks,
                   const http::HttpRequest& aRequest)
{
  foundation::Findings findings;
  wire::Announcement announcement = ParseAnnouncement(aRequest.body_, findings);
  if (!findings.empty()) {
    return { .status_ = 400, .body_ = foundation::ToString(findings) };
  }
  aCallbacks.onAnnouncement_(std::move(announcement));
  return { .status_ = 200, .body_ = "announced\n" };
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
      aRespond(AnswerAnnouncement(aCallbacks, aRequest));
    });
}

} // namespace wigeonlb::announcements
