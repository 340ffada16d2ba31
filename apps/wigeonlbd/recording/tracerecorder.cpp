#include "recording/tracerecorder.h"

#include <filesystem>
#include <utility>

#include "core/trace/tracefile.h"
#include "foundation/logging.h"

namespace wigeonlb::daemon::recording {

namespace {

//! Reserved for the end record.
constexpr std::uint64_t kEndReserveBytes = 256;

//! The machine's boot id. All processes of one boot share a monotonic clock, so
//! it identifies the clock. Empty if it can't be read.
std::string
ReadBootId()
{
  std::ifstream file("/proc/sys/kernel/random/boot_id");
  std::string name;
  std::getline(file, name);
  return name;
}

std::uint64_t
ToMicroseconds(foundation::Instant aNow)
{
  return static_cast<std::uint64_t>(aNow.time_since_epoch().count());
}

} // namespace

TraceRecorder::TraceRecorder()
{
  items_.set_capacity(kMaxBufferedRecords);
}

TraceRecorder::~TraceRecorder()
{
  Stop();
}

std::error_code
TraceRecorder::Open(const std::string& aFile,
                    std::uint64_t aLimitBytes,
                    const foundation::HostId& aHost,
                    std::uint64_t aBoot)
{
  std::error_code error;
  if (std::filesystem::exists(aFile, error)) {
    std::filesystem::rename(aFile, aFile + ".old", error);
  }
  if (error) {
    return error;
  }
  file_.open(aFile, std::ios::binary | std::ios::trunc);
  if (!file_) {
    return { errno, std::generic_category() };
  }
  limitBytes_ = aLimitBytes;
  wire::TraceRecord record;
  auto& header = *record.mutable_header();
  header.set_version(core::trace::kTraceVersion);
  header.set_host(aHost);
  header.set_boot(aBoot);
  header.set_clock(ReadBootId());
  header.set_program("wigeonlbd");
  record.set_at_us(ToMicroseconds(foundation::SteadyNow()));
  Append(record, kEndReserveBytes);
  on_ = true;
  return {};
}

void
TraceRecorder::StartWriting()
{
  thread_ = std::thread([this] { Run(); });
}

std::error_code
TraceRecorder::Start(const std::string& aFile,
                     std::uint64_t aLimitBytes,
                     const foundation::HostId& aHost,
                     std::uint64_t aBoot)
{
  const std::error_code error = Open(aFile, aLimitBytes, aHost, aBoot);
  if (!error) {
    StartWriting();
  }
  return error;
}

void
TraceRecorder::Stop()
{
  if (!thread_.joinable()) {
    return;
  }
  on_ = false;
  Item last;
  last.last_ = true;
  items_.push(std::move(last));
  thread_.join();
}

void
TraceRecorder::Record(wire::TraceRecord aRecord, foundation::Instant aNow)
{
  if (!IsOn()) {
    return;
  }
  aRecord.set_at_us(ToMicroseconds(aNow));
  Item item;
  item.record_ = std::move(aRecord);
  item.droppedBefore_ = dropped_.exchange(0);
  const std::uint64_t lost = item.droppedBefore_ + 1;
  if (!items_.try_push(std::move(item))) {
    dropped_ += lost;
  }
}

void
TraceRecorder::Run()
{
  Item item;
  while (true) {
    if (!items_.try_pop(item)) {
      file_.flush();
      items_.pop(item);
    }
    if (item.last_) {
      break;
    }
    Write(item);
  }
  if (file_.is_open()) {
    WriteDropped(dropped_, ToMicroseconds(foundation::SteadyNow()));
    Close("closed");
  }
}

void
TraceRecorder::Write(Item& aItem)
{
  if (!file_.is_open()) {
    return;
  }
  WriteDropped(aItem.droppedBefore_, aItem.record_.at_us());
  if (!Append(aItem.record_, kEndReserveBytes)) {
    on_ = false;
    Close(file_.good() ? "limit" : "failed");
  }
}

void
TraceRecorder::WriteDropped(std::uint64_t aCount, std::uint64_t aAtUs)
{
  if (aCount == 0) {
    return;
  }
  wire::TraceRecord record;
  record.set_at_us(aAtUs);
  record.mutable_dropped()->set_records(aCount);
  Append(record, kEndReserveBytes);
}

bool
TraceRecorder::Append(wire::TraceRecord& aRecord, std::uint64_t aReserveBytes)
{
  aRecord.set_number(number_ + 1);
  const std::string line = core::trace::ToJsonLine(aRecord);
  if (line.empty()) {
    ++dropped_; // not valid UTF-8; the next record reports it
    return true;
  }
  if (writtenBytes_ + line.size() + aReserveBytes > limitBytes_) {
    return false;
  }
  file_ << line;
  writtenBytes_ += line.size();
  ++number_;
  return file_.good();
}

void
TraceRecorder::Close(const std::string& aReason)
{
  wire::TraceRecord record;
  record.set_at_us(ToMicroseconds(foundation::SteadyNow()));
  record.mutable_end()->set_reason(aReason);
  Append(record, 0);
  file_.close();
  foundation::LogChange("recording",
                        "trace-closed",
                        { { "reason", aReason },
                          { "records", std::to_string(number_) },
                          { "bytes", std::to_string(writtenBytes_) } });
}

} // namespace wigeonlb::daemon::recording
