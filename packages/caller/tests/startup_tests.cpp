#include <catch2/catch.hpp>

#include <random>

#include "caller/callererrors.h"
#include "caller/startup.h"

namespace wigeonlb::caller {

using namespace std::string_literals;

TEST_CASE("startup packets are classified or refused", "[startup]")
{
  struct Row
  {
    std::string payload_;
    std::error_code error_;
    StartupKind kind_;
  };
  const auto row = GENERATE(values<Row>({
    { "\x04\xd2\x16\x2f"s, {}, StartupKind::SslRequest },
    { "\x04\xd2\x16\x30"s, {}, StartupKind::GssEncryptionRequest },
    { "\x04\xd2\x16\x2f\0"s,
      CallerError::BadStartupPacket,
      StartupKind::SslRequest },
    { "\x04\xd2\x16\x2e\0\0\0\x01\0\0\0\x02"s, {}, StartupKind::CancelRequest },
    { "\x04\xd2\x16\x2e\0\0\0\x01"s,
      CallerError::BadStartupPacket,
      StartupKind::CancelRequest },
    { "\0\x03\0\0user\0u\0\0"s, {}, StartupKind::Startup },
    { "\0\x03\0\0user\0u\0"s,
      CallerError::BadStartupPacket,
      StartupKind::Startup },
    { "\0\x03\0\0user\0u\0\0x"s,
      CallerError::BadStartupPacket,
      StartupKind::Startup },
    { "\0\x03\0\0user\0\0\0"s,
      CallerError::BadStartupPacket,
      StartupKind::Startup },
    { "\0\x03\0\0user"s, CallerError::BadStartupPacket, StartupKind::Startup },
    { "\0\x03"s, CallerError::BadStartupPacket, StartupKind::Startup },
    { "\0\x02\0\0user\0u\0\0"s,
      CallerError::UnsupportedProtocol,
      StartupKind::Startup },
    { "\0\x03\0\0user\0u\0options\0-x\0\0"s,
      CallerError::BadOptions,
      StartupKind::Startup },
  }));
  StartupPacket packet;
  CHECK(ParseStartupPacket(row.payload_, packet) == row.error_);
  CHECK(packet.kind_ == row.kind_);
}

TEST_CASE("startup parameters are separated by kind", "[startup]")
{
  StartupPacket packet;
  REQUIRE_FALSE(
    ParseStartupPacket("\0\x03\0\x02user\0ana\0database\0orders-db/1\0"
                       "application_name\0psql\0options\0-c a=1 -cb=2\0"
                       "_pq_.x\0y\0\0"s,
                       packet));
  const StartupRequest& request = packet.request_;
  CHECK(request.user_ == "ana");
  CHECK(request.database_ == "orders-db/1");
  CHECK(request.parameters_ ==
        std::vector<Parameter>{ { "application_name", "psql" } });
  CHECK(request.settings_ ==
        std::vector<Parameter>{ { "a", "1" }, { "b", "2" } });
  CHECK(request.protocolMinor_ == 2);
  CHECK(request.protocolOptions_ == std::vector<std::string>{ "_pq_.x" });
}

TEST_CASE("the database defaults to the user's name", "[startup]")
{
  StartupPacket packet;
  REQUIRE_FALSE(ParseStartupPacket("\0\x03\0\0user\0u\0\0"s, packet));
  CHECK(packet.request_.database_ == "u");
}

TEST_CASE("options of the startup packet are parsed", "[startup]")
{
  using Settings = std::vector<Parameter>;
  struct Row
  {
    std::string options_;
    std::error_code error_;
    Settings settings_;
  };
  const auto row = GENERATE(values<Row>({
    { "", {}, {} },
    { "  ", {}, {} },
    { "-c a=b", {}, { { "a", "b" } } },
    { "-ca=b --c=d", {}, { { "a", "b" }, { "c", "d" } } },
    { "-c a=", {}, { { "a", "" } } },
    { "-c a=x=y", {}, { { "a", "x=y" } } },
    { R"(-c a=b\ c\\d)", {}, { { "a", R"(b c\d)" } } },
    { "-c wigeonlb.session=abc==", {}, { { "wigeonlb.session", "abc==" } } },
    { "-c", CallerError::BadOptions, {} },
    { "-c a", CallerError::BadOptions, {} },
    { "-c =a", CallerError::BadOptions, {} },
    { "a=b", CallerError::BadOptions, {} },
    { "-c a=b -d", CallerError::BadOptions, { { "a", "b" } } },
  }));
  Settings settings;
  CHECK(ParseOptions(row.options_, settings) == row.error_);
  CHECK(settings == row.settings_);
}

TEST_CASE("random startup payloads are parsed or refused", "[startup][fuzz]")
{
  const auto seed = GENERATE(range(1U, 100U));
  std::mt19937 random(seed);
  std::string payload = "\0\x03\0\0user\0u\0options\0-c a=b\0database\0d\0\0"s;
  for (int change = 0; change < 4; ++change) {
    payload[random() % payload.size()] = static_cast<char>(random() % 128);
  }
  payload.resize(random() % (payload.size() + 1));
  StartupPacket packet;
  if (!ParseStartupPacket(payload, packet) &&
      packet.kind_ == StartupKind::Startup) {
    CHECK_FALSE(packet.request_.user_.empty());
  }
}

} // namespace wigeonlb::caller
