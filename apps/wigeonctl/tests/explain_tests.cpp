#include <catch2/catch.hpp>

#include <sstream>

#include "explain.h"

namespace wigeonlb::ctl {

namespace {

// Logs of an entry host, an owner and a control host.
const std::map<std::string, std::string> kLogs{
  { "entry-1.log", R"(
2026-12-04T10:00:00.100 level=INFO module=wigeonlb.daemon event=serving host=10.0.0.1
2026-12-04T10:00:05.200 level=INFO module=wigeonlb.request event=request-handed-on request=r1 session=10.0.0.1/7 attempt=3 group=g outcome=not_run reason="this host holds no grant" owner=10.0.0.3
2026-12-04T10:00:05.204 level=INFO module=wigeonlb.request event=request-answered request=r1 session=10.0.0.1/7 attempt=4 group=g outcome=not_run sqlstate=57P03 reason="not run: no owner" owner=10.0.0.4
2026-12-04T10:00:07.000 level=INFO module=wigeonlb.request event=request-answered request=r2 session=10.0.0.1/9 attempt=1 group=g outcome=unknown sqlstate=08007 reason="outcome unknown" owner=10.0.0.3
2026-12-04T10:00:08.500 level=INFO module=wigeonlb.peer event=peer-lost host=10.0.0.3
2026-12-04T10:00:09.000 level=INFO module=wigeonlb.request event=request-answered request=r3 session=10.0.0.1/8 attempt=5 group=h outcome=not_run sqlstate=57P03 reason="too old"
not a line of a log
)" },
  { "owner.log", R"(
2026-12-04T10:00:05.100 level=INFO module=wigeonlb.agent event=grant-ended group=g term=4
2026-12-04T10:00:05.199 level=INFO module=wigeonlb.request event=request-finished session=10.0.0.1/7 attempt=3 group=g outcome=not_run sqlstate=57P03 reason="this host holds no grant"
2026-12-04T10:00:06.990 level=INFO module=wigeonlb.request event=request-finished request=r2 session=10.0.0.1/9 attempt=1 group=g outcome=unknown sqlstate=08007 reason="the right to write ended" grant_term=4 grant_left_ms=-12
2026-12-04T10:00:08.990 level=INFO module=wigeonlb.request event=request-finished session=10.0.0.1/8 attempt=5 group=h outcome=not_run sqlstate=57P03 reason="no target's data is young enough" newest_age_ms=1900
2026-12-04T10:01:03.300 level=INFO module=wigeonlb.request event=session-refused session=10.0.0.1/12 attempt=0 database=d outcome=not_run sqlstate=3D000 reason="no such database" revision=70 confirmed_ms=3400
2026-12-04T10:00:20.000 level=INFO module=wigeonlb.request event=transaction-differs request=r5 session=10.0.0.1/8 attempt=9 group=h transaction=0 open_transaction=6
)" },
  { "control.log", R"(
   12.345 core-1 2026-12-04T10:00:05.090 level=INFO module=wigeonlb.control event=promotion-ordered group=g target=b term=5 fence=44
   12.345 core-1 2026-12-04T10:00:05.095 level=INFO module=wigeonlb.control event=promotion-ordered group=other target=c term=5 fence=45
   14.345 core-1 2026-12-04T10:00:08.000 level=INFO module=wigeonlb.agent event=cut-off tried=7
2026-12-04T10:01:00.000 level=INFO module=wigeonlb.control event=change-decided change=c index=90 term=3 revision=71
2026-12-04T10:01:00.002 level=INFO module=wigeonlb.control event=configuration-sent host=10.0.0.2 revision=71 index=90 term=3
)" },
};

std::vector<LogLine>
ReadLogs()
{
  std::vector<LogLine> lines;
  for (const auto& [name, text] : kLogs) {
    std::istringstream log(text);
    for (std::string line; std::getline(log, line);) {
      if (auto parsed = ParseLogLine(line, name)) {
        lines.push_back(std::move(*parsed));
      }
    }
  }
  return lines;
}

std::vector<std::string>
ListEvents(const std::string& aText)
{
  std::vector<std::string> events;
  std::istringstream text(aText);
  for (std::string time, host, event, rest;
       text >> time >> host >> event && std::getline(text, rest);) {
    events.push_back(time == "sealed" ? time : event);
  }
  return events;
}

} // namespace

TEST_CASE("explain lists a request's lines and the decision on its outcome",
          "[explain]")
{
  struct Row
  {
    std::string request_;
    std::vector<std::string> events_;
    std::string lastLine_;
  };
  const auto row = GENERATE(values<Row>({
    { "r1",
      { "promotion-ordered",
        "grant-ended",
        "request-finished",
        "request-handed-on",
        "request-answered",
        "sealed" },
      "sealed by owner.log: outcome=not_run sqlstate=57P03 reason: this host "
      "holds no grant" },
    { "r2",
      { "promotion-ordered",
        "grant-ended",
        "request-finished",
        "request-answered",
        "sealed" },
      "sealed by owner.log: outcome=unknown sqlstate=08007 reason: the right "
      "to write ended" },
    { "r3",
      { "peer-lost", "request-finished", "request-answered", "sealed" },
      "sealed by owner.log: outcome=not_run sqlstate=57P03 reason: no target's "
      "data is young enough" },
    { "r4", {}, "" },
    { "10.0.0.1/12",
      { "change-decided", "configuration-sent", "session-refused", "sealed" },
      "outcome=not_run sqlstate=3D000 reason: no such database" },
    { "r5", { "transaction-differs", "no" }, "no line has an outcome" },
  }));
  const std::string text = ExplainRequest(row.request_, ReadLogs());
  CAPTURE(text);
  CHECK(ListEvents(text) == row.events_);
  CHECK(text.find(row.lastLine_) != std::string::npos);
}

TEST_CASE("a log line is parsed with its host and fields", "[explain]")
{
  struct Row
  {
    std::string line_;
    std::string host_; //!< empty: not a log line
    std::string value_;
  };
  const auto row = GENERATE(values<Row>({
    { "2026-12-04T10:00:00.100 level=INFO module=m event=e key=v", "f", "v" },
    { "  1.5 h-1 2026-12-04T10:00:00.100 level=INFO module=m event=e key=v",
      "h-1",
      "v" },
    { R"(2026-12-04T10:00:00.100 level=INFO module=m event=e key="a \"b\"" c=d)",
      "f",
      R"(a "b")" },
    { "2026-12-04T10:00:00.100 level=INFO module=m event=e", "f", "" },
    { "yesterday level=INFO module=m event=e key=v", "", "" },
    { "event=e key=v", "", "" },
    { "", "", "" },
  }));
  const auto line = ParseLogLine(row.line_, "f");
  CAPTURE(row.line_);
  REQUIRE(line.has_value() == !row.host_.empty());
  if (line) {
    CHECK(line->host_ == row.host_);
    CHECK(line->event_ == "e");
    const auto value = line->fields_.find("key");
    CHECK((value == line->fields_.end() ? "" : value->second) == row.value_);
  }
}

} // namespace wigeonlb::ctl
