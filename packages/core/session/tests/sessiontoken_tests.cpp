#include <catch2/catch.hpp>
#include <xxhash.h>

#include "core/session/internal/base64url.h"
#include "core/session/sessiontoken.h"

namespace wigeonlb::core::session {

TEST_CASE("a floor is raised but never lowered", "[sessionfloors]")
{
  struct Row
  {
    foundation::LogPosition before_, raise_, after_;
    bool moved_;
  };
  const auto row = GENERATE(values<Row>({
    { { 0, 0 }, { 1, 5 }, { 1, 5 }, true },
    { { 1, 5 }, { 1, 4 }, { 1, 5 }, false },
    { { 1, 500 }, { 2, 5 }, { 2, 5 }, true },
    { { 2, 5 }, { 1, 500 }, { 2, 5 }, false },
  }));
  SessionFloors floors;
  RaiseFloor(floors, "a", row.before_);
  CHECK(RaiseFloor(floors, "a", row.raise_) == row.moved_);
  CHECK(GetFloor(floors, "a") == row.after_);
  CHECK(GetFloor(floors, "b") == foundation::LogPosition{});
}

TEST_CASE("a token decodes to the encoded floors", "[sessiontoken]")
{
  SessionFloors floors;
  const int count = GENERATE(0, 1, 2, 40);
  for (int i = 0; i < count; ++i) {
    RaiseFloor(floors,
               "orders-db/" + std::to_string(i),
               { 3U + i, ~0ULL - static_cast<std::uint64_t>(i) });
  }
  std::string token;
  REQUIRE_FALSE(EncodeToken(floors, token));
  SessionFloors read;
  REQUIRE_FALSE(DecodeToken(token, read));
  CHECK(read.positions_ == floors.positions_);
}

TEST_CASE("an invalid token is refused and changes no floor", "[sessiontoken]")
{
  SessionFloors floors;
  RaiseFloor(floors, "insignias-db/1", { 4, 1048576 });
  std::string token;
  REQUIRE_FALSE(EncodeToken(floors, token));
  SessionFloors read = floors;
  SECTION("any single character changed")
  {
    for (std::size_t i = 0; i < token.size(); ++i) {
      std::string corruptedToken = token;
      corruptedToken[i] = corruptedToken[i] == 'A' ? 'B' : 'A';
      CHECK(DecodeToken(corruptedToken, read) == TokenError::Corrupted);
    }
  }
  SECTION("truncated at any length")
  {
    for (std::size_t i = 0; i < token.size(); ++i) {
      CHECK(DecodeToken(token.substr(0, i), read));
    }
    CHECK(DecodeToken("AAAA", read) == TokenError::Truncated);
  }
  SECTION("too long")
  {
    const std::string oversizedToken(kTokenLimitBytes + 1, 'A');
    CHECK(DecodeToken(oversizedToken, read) == TokenError::TooLong);
    for (int i = 0; i < 400; ++i) {
      RaiseFloor(floors, "group-" + std::to_string(i), { 1, 1 });
    }
    CHECK(EncodeToken(floors, token) == TokenError::TooLong);
    return;
  }
  SECTION("not base64url")
  {
    CHECK(DecodeToken(token + "+/=", read) == TokenError::Corrupted);
  }
  SECTION("unknown version with a valid checksum")
  {
    std::string content(1, static_cast<char>(kTokenVersion + 1));
    XXH64_canonical_t checksum;
    XXH64_canonicalFromHash(&checksum, XXH3_64bits(content.data(), 1));
    content.append(reinterpret_cast<const char*>(checksum.digest), 8);
    CHECK(DecodeToken(internal::EncodeBase64Url(content), read) ==
          TokenError::WrongVersion);
  }
  CHECK(read.positions_ == floors.positions_);
}

} // namespace wigeonlb::core::session
