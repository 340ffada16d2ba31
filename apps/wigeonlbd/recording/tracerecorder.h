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

//! Capacity of the buffer of records; when it is full, records are dropped and
//! counted.
constexpr std::size_t kMaxBufferedRecords = 16384;

//! Writes the trace of this process on a separate thread. Recording never
//! blocks, neither on the disk nor on a full buffer.
class TraceRecorder
{
public:
  TraceRecorder();
  ~TraceRecorder();
  TraceRecorder(const TraceRecorder&) = delete;
  TraceRecorder& operator=(const TraceRecorder&) = delete;

  //! Opens the file and accepts records from then on. An existing file is
  //! renamed by appending `.old` to its name, which replaces an earlier file of
  //! that name.
  std::error_code Open(const std::string& aFile,
                       std::uint64_t aLimitBytes,
                       const foundation::HostId& aHost,
                       std::uint64_t aBoot);
  //! Starts the thread that writes the records. Called once, after Open.
  void StartWriting();
  //! Calls Open, then StartWriting unless Open failed.
  std::error_code Start(const std::string& aFile,
                        std::uint64_t aLimitBytes,
                        const foundation::HostId& aHost,
                        std::uint64_t aBoot);
  //! Writes the buffered records and closes the file.
  void Stop();

  //! True while records are accepted.
  bool IsOn() const { return on_.load(std::memory_order_relaxed); }
  //! Buffers a record with the time aNow; its number is set when it is written.
  //! Callable from any thread.
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
  //! Numbers and appends a record. Returns false if the file would exceed its
  //! limit less aReserveBytes, or if writing failed.
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
