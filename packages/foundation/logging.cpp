#include "foundation/logging.h"

#include <future>
#include <iomanip>
#include <sstream>
#include <thread>

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace wigeonlb::foundation {

namespace {

bool
NeedsQuotes(std::string_view aValue)
{
  if (aValue.empty()) {
    return true;
  }
  for (const unsigned char character : aValue) {
    if (character <= ' ' || character == '"' || character == '=') {
      return true;
    }
  }
  return false;
}

log4cxx::LoggerPtr
GetModuleLogger(std::string_view aModule)
{
  return log4cxx::Logger::getLogger("wigeonlb." + std::string(aModule));
}

} // namespace

bool
SetUpLogging(std::string_view aLevel)
{
  const std::pair<std::string_view, log4cxx::LevelPtr> levels[] = {
    { "debug", log4cxx::Level::getDebug() },
    { "info", log4cxx::Level::getInfo() },
    { "warn", log4cxx::Level::getWarn() },
    { "error", log4cxx::Level::getError() },
  };
  for (const auto& [name, level] : levels) {
    if (name != aLevel) {
      continue;
    }
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p module=%c %m%n"));
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemOut());
    const auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(kMaxQueuedLogLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(queue);
    root->setLevel(level);
    return true;
  }
  return false;
}

bool
ShutDownLogging(Duration aLimit)
{
  std::promise<void> written;
  std::future<void> done = written.get_future();
  std::thread writer([written = std::move(written)]() mutable {
    log4cxx::Logger::getRootLogger()->removeAllAppenders();
    written.set_value();
  });
  if (done.wait_for(aLimit) != std::future_status::ready) {
    writer.detach();
    return false;
  }
  writer.join();
  return true;
}

std::string
FormatLogLine(std::string_view aEvent, std::span<const LogField> aFields)
{
  std::ostringstream line;
  line << "event=" << aEvent;
  for (const auto& [key, value] : aFields) {
    line << ' ' << key << '=';
    if (NeedsQuotes(value)) {
      line << std::quoted(value);
    } else {
      line << value;
    }
  }
  return line.str();
}

void
LogChange(std::string_view aModule,
          std::string_view aEvent,
          std::initializer_list<LogField> aFields)
{
  LogChange(aModule, aEvent, std::span(aFields.begin(), aFields.size()));
}

void
LogChange(std::string_view aModule,
          std::string_view aEvent,
          std::span<const LogField> aFields)
{
  LOG4CXX_INFO(GetModuleLogger(aModule), FormatLogLine(aEvent, aFields));
}

void
LogWarning(std::string_view aModule,
           std::string_view aEvent,
           std::initializer_list<LogField> aFields)
{
  LogWarning(aModule, aEvent, std::span(aFields.begin(), aFields.size()));
}

void
LogWarning(std::string_view aModule,
           std::string_view aEvent,
           std::span<const LogField> aFields)
{
  LOG4CXX_WARN(GetModuleLogger(aModule), FormatLogLine(aEvent, aFields));
}

} // namespace wigeonlb::foundation
