#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <thread>

#include <unistd.h>

#include "foundation/logging.h"

namespace wigeonlb::foundation {

namespace {

constexpr Duration kLimitSeconds = std::chrono::seconds(20);

//! Redirects standard output into a pipe until destroyed.
class PipedOutput
{
public:
  PipedOutput()
  {
    REQUIRE(::pipe(ends_) == 0);
    saved_ = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(ends_[1], STDOUT_FILENO) >= 0);
    ::close(ends_[1]);
  }
  ~PipedOutput()
  {
    Restore();
    ::close(ends_[0]);
  }
  PipedOutput(const PipedOutput&) = delete;
  PipedOutput& operator=(const PipedOutput&) = delete;

  void Restore()
  {
    if (saved_ >= 0) {
      ::dup2(saved_, STDOUT_FILENO);
      ::close(saved_);
      saved_ = -1;
    }
  }

  //! Reads until aUpTo was read, or to the end of the output.
  std::string Read(std::string_view aUpTo = "")
  {
    std::string text;
    char chunk[65536];
    ssize_t bytesRead = 1;
    while (bytesRead > 0 && (aUpTo.empty() || text.find(aUpTo) == text.npos)) {
      bytesRead = ::read(ends_[0], chunk, sizeof chunk);
      text.append(chunk,
                  static_cast<std::size_t>(std::max<ssize_t>(bytesRead, 0)));
    }
    return text;
  }

private:
  int ends_[2] = { -1, -1 };
  int saved_ = -1;
};

} // namespace

TEST_CASE("logging does not block when standard output is not read",
          "[logging]")
{
  struct Row
  {
    int lines_;
    bool discards_;
  };
  const auto row = GENERATE(
    values<Row>({ { 100, false }, { 20 * kMaxQueuedLogLines, true } }));
  std::string text;
  bool ended = false;
  {
    PipedOutput output;
    REQUIRE(SetUpLogging("info"));
    // Nothing reads the pipe during these calls.
    for (int i = 0; i < row.lines_; ++i) {
      LogChange("test", "counted", { { "number", std::to_string(i) } });
    }
    std::thread reader([&] { text = output.Read(); });
    ended = ShutDownLogging(kLimitSeconds);
    output.Restore();
    reader.join();
  }
  CHECK(ended);
  CHECK(text.find("event=counted number=0") != std::string::npos);
  const std::string last = "number=" + std::to_string(row.lines_ - 1);
  const bool whole = text.find(last) != std::string::npos;
  const bool reported = text.find("Discarded") != std::string::npos;
  CHECK((whole || reported));
  CHECK(reported == row.discards_);
}

TEST_CASE("ShutDownLogging returns when standard output is not read",
          "[logging]")
{
  PipedOutput output;
  REQUIRE(SetUpLogging("info"));
  for (int i = 0; i < 20 * kMaxQueuedLogLines; ++i) {
    LogChange("test", "counted", { { "number", std::to_string(i) } });
  }
  CHECK_FALSE(ShutDownLogging(std::chrono::milliseconds(100)));
  // The detached writer finishes once the pipe is read.
  CHECK(output.Read("Discarded").find("Discarded") != std::string::npos);
}

} // namespace wigeonlb::foundation
