#include <catch2/catch.hpp>

#include <vector>

#include "announcements/announcement.h"
#include "announcements/announcementroutes.h"

namespace wigeonlb::announcements {

namespace {

const std::string kValidJson = R"({"group": "orders-db/2", "target": "t1",
  "address": "127.0.0.1:5432", "data_centre": "rabat-sal", "slots": 2,
  "connection_limit": 30, "incarnation": 5, "leaving": true})";

http::HttpResponse
Answer(const AnnouncementCallbacks& aCallbacks,
       const http::HttpRequest& aRequest)
{
  http::HttpRouter router;
  RegisterAnnouncementRoutes(router, aCallbacks);
  http::HttpResponse response;
  router.Handle(aRequest, [&](http::HttpResponse aResponse) {
    response = std::move(aResponse);
  });
  return response;
}

} // namespace

TEST_CASE("a valid announcement is parsed", "[announcement]")
{
  foundation::Findings findings;
  const wire::Announcement announcement =
    ParseAnnouncement(kValidJson, findings);
  CHECK(foundation::ToString(findings).empty());
  CHECK(announcement.group() == "orders-db/2");
  CHECK(announcement.connection_limit() == 30);
  CHECK(announcement.incarnation() == 5);
  CHECK(announcement.leaving());
  CHECK_FALSE(announcement.can_fence());
}

TEST_CASE("every error of an announcement is reported", "[announcement]")
{
  struct Row
  {
    std::string json_;
    std::string findings_;
  };
  const std::string start = R"({"group": "g", "target": "t",
    "data_centre": "d", "incarnation": 18446744073709551615, )";
  const auto row = GENERATE_COPY(values<Row>({
    { "", "/: not JSON\n" },
    { "[1]", "/: expected an object\n" },
    { start + R"("address": "x:1", "slots": 1, "connection_limit": 1})", "" },
    { start + R"("address": "x:1", "slots": 1, "slots": 2,
                 "connection_limit": 1})",
      "/: an object has the key 'slots' twice\n" },
    { start + R"("address": "x", "slots": 0, "connection_limit": 1})",
      "/address: expected host:port\n/slots: must be at least 1\n" },
    { start + R"("address": "x:70000", "slots": -1, "leaving": 1})",
      "/leaving: expected true or false\n"
      "/slots: expected a whole number up to 4294967295\n"
      "/connection_limit: missing\n"
      "/address: expected host:port\n" },
    { start + R"("address": 4, "slots": 4294967296, "connection_limit": 1,
                 "leavin": true})",
      "/address: expected a string\n"
      "/leavin: unknown name\n"
      "/slots: expected a whole number up to 4294967295\n" },
    { start + R"("address": "x:1", "slots": 1, "connection_limit": 1,
                 "dialect": ")" +
        std::string(201, 'd') + "\"}",
      "/dialect: longer than 200 bytes\n" },
  }));
  foundation::Findings findings;
  ParseAnnouncement(row.json_, findings);
  CHECK(foundation::ToString(findings) == row.findings_);
}

TEST_CASE("health and announcement routes return the expected status",
          "[announcementroutes]")
{
  struct Row
  {
    std::string method_;
    std::string path_;
    std::string body_;
    bool serving_;
    int status_;
    std::size_t announced_;
    bool recorded_ = true;
  };
  const auto row = GENERATE(values<Row>({
    { "GET", "/healthz", "", true, 200, 0 },
    { "GET", "/healthz", "", false, 503, 0 },
    { "POST", "/healthz", "", true, 405, 0 },
    { "POST", "/announce", kValidJson, true, 200, 1 },
    { "POST", "/announce", kValidJson, false, 200, 1 },
    { "POST", "/announce", kValidJson, true, 503, 1, false },
    { "POST", "/announce", "{}", true, 400, 0 },
  }));
  std::vector<wire::Announcement> announced;
  const AnnouncementCallbacks callbacks{
    .isServing_ = [&] { return row.serving_; },
    .onAnnouncement_ =
      [&](wire::Announcement&& aAnnouncement, const auto& aDone) {
        announced.push_back(std::move(aAnnouncement));
        aDone(row.recorded_);
      },
  };
  const http::HttpRequest request{ .method_ = row.method_,
                                   .path_ = row.path_,
                                   .body_ = row.body_ };
  CHECK(Answer(callbacks, request).status_ == row.status_);
  CHECK(announced.size() == row.announced_);
}

} // namespace wigeonlb::announcements
