#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "core/configuration/configurationview.h"
#include "storage/datafolder.h"

namespace wigeonlb::daemon::control {

//! Saves a host's configuration in its data folder, on a thread of its own: a
//! write to a busy disk takes up to seconds, and the control thread must send
//! heartbeats and answers meanwhile.
class MemoryWriter
{
public:
  //! Called on the context after each attempt to save a configuration.
  using Saved =
    std::function<void(const core::configuration::ConfigurationView&,
                       std::error_code)>;

  MemoryWriter(boost::asio::io_context& aContext,
               const storage::DataFolder& aFolder,
               Saved aSaved);
  //! Waits for the write in progress. The context must not run any more, as it
  //! may have a call of aSaved.
  ~MemoryWriter();

  //! Saves a configuration after the write in progress. Replaces one that is
  //! still waiting for that, as only the newest one is read again.
  void Save(core::configuration::ConfigurationView aView);

private:
  void Run();

  boost::asio::io_context& context_;
  const storage::DataFolder& folder_;
  Saved saved_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<core::configuration::ConfigurationView> next_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace wigeonlb::daemon::control
