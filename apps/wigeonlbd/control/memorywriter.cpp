#include "control/memorywriter.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "storage/memberstore.h"

namespace wigeonlb::daemon::control {

namespace configuration = core::configuration;

MemoryWriter::MemoryWriter(boost::asio::io_context& aContext,
                           const storage::DataFolder& aFolder,
                           Saved aSaved)
  : context_(aContext)
  , folder_(aFolder)
  , saved_(std::move(aSaved))
  , thread_([this] { Run(); })
{
}

MemoryWriter::~MemoryWriter()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void
MemoryWriter::Save(configuration::ConfigurationView aView)
{
  {
    const std::lock_guard lock(mutex_);
    next_ = std::move(aView);
  }
  changed_.notify_one();
}

void
MemoryWriter::Run()
{
  while (true) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return next_.has_value() || stopping_; });
    // A configuration that waits is not in force yet, so it need not be saved
    // before the process ends.
    if (stopping_) {
      return;
    }
    configuration::ConfigurationView view = std::move(*next_);
    next_.reset();
    lock.unlock();
    const std::error_code error =
      storage::SaveHostMemory(folder_, configuration::ToMemory(view));
    boost::asio::post(
      context_, [this, view = std::move(view), error] { saved_(view, error); });
  }
}

} // namespace wigeonlb::daemon::control
