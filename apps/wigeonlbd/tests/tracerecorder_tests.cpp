#include <filesystem>
#include <thread>
#include <vector>

#include <unistd.h>

#include <catch2/catch.hpp>

#include "core/trace/tracefile.h"
#include "recording/tracerecorder.h"

namespace wigeonlb::daemon::recording {

namespace {

namespace fs = std::filesystem;

constexpr std::uint64_t kLargeLimitBytes = std::uint64_t{ 1 } << 30U;

//! A temporary folder that is removed at the end of the test.
struct TemporaryFolder
{
  fs::path path_ = fs::temp_directory_path() /
                   ("wigeonlb-trace-" + std::to_string(::getpid()));

  TemporaryFolder() { fs::create_directory(path_); }
  ~TemporaryFolder() { fs::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string File() const { return (path_ / "t").string(); }
};

void
RecordRevisions(TraceRecorder& aRecorder, std::uint64_t aCount)
{
  for (std::uint64_t i = 1; i <= aCount; ++i) {
    wire::TraceRecord record;
    record.mutable_revision_in_force()->set_revision(i);
    aRecorder.Record(std::move(record), foundation::SteadyNow());
  }
}

void
RecordFromTwoThreads(TraceRecorder& aRecorder, std::uint64_t aEach)
{
  std::thread other([&] { RecordRevisions(aRecorder, aEach); });
  RecordRevisions(aRecorder, aEach);
  other.join();
}

core::trace::Trace
Read(const std::string& aFile)
{
  std::ifstream input(aFile, std::ios::binary);
  std::vector<core::trace::Trace> traces;
  foundation::Findings findings;
  CHECK_FALSE(core::trace::ReadTraces(input, aFile, traces, findings));
  INFO(foundation::ToString(findings));
  REQUIRE(traces.size() == 1);
  return traces[0];
}

} // namespace

TEST_CASE("a recorder writes a complete trace and keeps the previous one",
          "[recording]")
{
  const TemporaryFolder folder;
  for (std::uint64_t boot = 1; boot <= 2; ++boot) {
    TraceRecorder recorder;
    REQUIRE_FALSE(recorder.Start(folder.File(), kLargeLimitBytes, "h", boot));
    RecordRevisions(recorder, boot);
    recorder.Stop();
    CHECK_FALSE(recorder.IsOn());
  }
  const auto trace = Read(folder.File());
  CHECK(GetHeader(trace).boot() == 2);
  CHECK_FALSE(GetHeader(trace).clock().empty());
  CHECK(trace.records_.size() == 4);
  CHECK(trace.records_.back().end().reason() == "closed");
  CHECK(GetHeader(Read(folder.File() + ".old")).boot() == 1);
}

TEST_CASE("recording ends at the size limit", "[recording]")
{
  const TemporaryFolder folder;
  constexpr std::uint64_t kLimitBytes = 65'536;
  TraceRecorder recorder;
  REQUIRE_FALSE(recorder.Start(folder.File(), kLimitBytes, "h", 1));
  RecordRevisions(recorder, 10'000);
  recorder.Stop();
  CHECK(fs::file_size(folder.File()) <= kLimitBytes);
  CHECK(fs::file_size(folder.File()) > kLimitBytes / 2);
  CHECK(Read(folder.File()).records_.back().end().reason() == "limit");
}

TEST_CASE("records dropped on a full buffer are counted in the trace",
          "[recording]")
{
  const TemporaryFolder folder;
  constexpr std::uint64_t kEach = 100'000;
  TraceRecorder recorder;
  REQUIRE_FALSE(recorder.Open(folder.File(), kLargeLimitBytes, "h", 1));
  // Nothing is written before StartWriting, so the buffer fills up regardless
  // of how threads are scheduled.
  RecordFromTwoThreads(recorder, kEach);
  recorder.StartWriting();
  RecordFromTwoThreads(recorder, kEach);
  recorder.Stop();
  std::uint64_t written = 0;
  std::uint64_t dropped = 0;
  for (const auto& record : Read(folder.File()).records_) {
    written += record.has_revision_in_force() ? 1 : 0;
    dropped += record.dropped().records();
  }
  CHECK(dropped >= 2 * kEach - kMaxBufferedRecords);
  CHECK(written + dropped == 4 * kEach);
}

TEST_CASE("opening an unusable trace file returns an error", "[recording]")
{
  TraceRecorder recorder;
  CHECK(recorder.Start("no/such/folder/t", kLargeLimitBytes, "h", 1) ==
        std::errc::no_such_file_or_directory);
  RecordRevisions(recorder, 1);
  recorder.Stop();
}

} // namespace wigeonlb::daemon::recording
