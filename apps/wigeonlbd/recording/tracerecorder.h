#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <string>
#include <system_error>
#include <thread>

#include <tbb/concurrent_queue.h>

#include "foundation/clock.h"
#include "foundation/identifiers.h"
#include "trace.pb.h"

namespace wigeonlb::daemon::recording {

//! Records that wait to be written; more are dropped and counted.
constexpr std::size_t kMaxBufferedRecords = 16384;

//! Writes the trace of this boot on a thread of its own. Recording never waits:
//! neither for the disk nor, when the buffer is full, for room.
class TraceRecorder
{
public:
  TraceRecorder();
  ~TraceRecorder();
  TraceRecorder(const TraceRecorder&) = delete;
  TraceRecorder& operator=(const TraceRecorder&) = delete;

  //! Opens the file, and takes records from then on. A file that is there
  //! already is kept under its name with `.old` added, in place of an earlier
  //! one of that name.
  std::error_code Open(const std::string& aFile,
                       std::uint64_t aLimitBytes,
                       const foundation::HostId& aHost,
                       std::uint64_t aBoot);
  //! Starts the thread that writes what was taken. Once, after Open.
  void StartWriting();
  //! Open, and StartWriting unless that failed.
  std::error_code Start(const std::string& aFile,
                        std::uint64_t aLimitBytes,
                        const foundation::HostId& aHost,
                        std::uint64_t aBoot);
  //! Writes what is buffered and closes the file.
  void Stop();

  //! True while records are taken.
  bool IsOn() const { return on_.load(std::memory_order_relaxed); }
  //! Takes a record as of aNow; number and time are set here. From any thread.
  void Record(wire::TraceRecord aRecord, foundation::Instant aNow);

private:
  struct Item
  {
    wire::TraceRecord record_;
    std::uint64_t droppedBefore_ = 0;
    bool last_ = false;
  };

  void Run();
  void Write(Item& aItem);
  void WriteDropped(std::uint64_t aCount, std::uint64_t aAtUs);
  //! Numbers and appends; false when the file's limit is reached or it failed.
  bool Append(wire::TraceRecord& aRecord, std::uint64_t aReserveBytes);
  void Close(const std::string& aReason);

  tbb::concurrent_bounded_queue<Item> items_;
  std::atomic<bool> on_ = false;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::ofstream file_;
  std::uint64_t limitBytes_ = 0;
  std::uint64_t writtenBytes_ = 0;
  std::uint64_t number_ = 0;
  std::thread thread_;
};

} // namespace wigeonlb::daemon::recording
