#include <catch2/catch.hpp>

#include <deque>
#include <future>
#include <mutex>
#include <set>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "caller/callerserver.h"

namespace wigeonlb::caller {

using namespace std::string_literals;
using boost::asio::ip::tcp;

namespace {

// Answers each query with its own text and records the threads that serve it.
class Echo : public CallerObserver
{
public:
  void OnStartup(CallerSession& aSession, const StartupRequest&) override
  {
    aSession.AcceptStartup({}, {});
  }
  void OnQuery(CallerSession& aSession, std::string_view aSql) override
  {
    {
      const std::lock_guard lock(mutex_);
      threads_.insert(std::this_thread::get_id());
    }
    std::string frames;
    AppendCommandComplete(frames, aSql);
    aSession.Send(std::move(frames));
    aSession.FinishQuery(TransactionStatus::Idle);
  }
  void OnCancel(const CancelKey&) override {}
  void OnDrained(CallerSession&) override {}
  void OnClosed(CallerSession&) override { ++closed_; }

  std::size_t ThreadCount()
  {
    const std::lock_guard lock(mutex_);
    return threads_.size();
  }

  std::atomic<int> closed_ = 0;

private:
  std::mutex mutex_;
  std::set<std::thread::id> threads_;
};

// Runs one io_context per thread until the end of the scope.
struct Threads
{
  explicit Threads(std::size_t aCount)
    : contexts_(aCount)
  {
    for (boost::asio::io_context& context : contexts_) {
      guards_.push_back(boost::asio::make_work_guard(context));
      threads_.emplace_back([&context] { context.run(); });
    }
  }
  ~Threads() { Stop(); }

  void Stop()
  {
    for (boost::asio::io_context& context : contexts_) {
      context.stop();
    }
    for (std::thread& thread : threads_) {
      thread.join();
    }
    threads_.clear();
  }

  std::deque<boost::asio::io_context> contexts_;
  std::vector<
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type>>
    guards_;
  std::vector<std::thread> threads_;
};

std::string
ReadThrough(tcp::socket& aClient, const std::string& aEnd)
{
  std::string read;
  boost::asio::read_until(aClient, boost::asio::dynamic_buffer(read), aEnd);
  return read;
}

} // namespace

TEST_CASE("sessions are distributed evenly over the workers", "[callerserver]")
{
  constexpr std::size_t kWorkers = 3;
  constexpr int kRounds = 50;
  const std::string ready = "Z\0\0\0\x05I"s;
  const std::string query = "Q\0\0\0\x06x\0"s;
  const std::string answer = "C\0\0\0\x06x\0"s + ready;
  Echo echo;
  Threads threads(kWorkers);
  std::vector<CallerWorker> workers;
  for (boost::asio::io_context& context : threads.contexts_) {
    workers.push_back({ &context, &echo });
  }
  CallerServerOptions options;
  options.address_ = "127.0.0.1";
  CallerServer server(workers, options);
  std::promise<std::error_code> listening;
  boost::asio::post(threads.contexts_.front(),
                    [&] { listening.set_value(server.Listen()); });
  REQUIRE_FALSE(listening.get_future().get());

  boost::asio::io_context context;
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < 2 * kWorkers; ++i) {
    tcp::socket& client = clients.emplace_back(context);
    client.connect(
      { boost::asio::ip::make_address("127.0.0.1"), server.Port() });
    boost::asio::write(client,
                       boost::asio::buffer("\0\0\0\x10\0\x03\0\0user\0u\0\0"s));
    ReadThrough(client, ready);
  }
  for (int round = 0; round < kRounds; ++round) {
    for (tcp::socket& client : clients) {
      boost::asio::write(client, boost::asio::buffer(query));
    }
    for (tcp::socket& client : clients) {
      REQUIRE(ReadThrough(client, ready) == answer);
    }
  }
  CHECK(server.SessionCount() == 2 * kWorkers);
  CHECK(echo.ThreadCount() == kWorkers);

  server.StopAccepting();
  server.CloseAll();
  for (tcp::socket& client : clients) {
    char byte = 0;
    boost::system::error_code error;
    client.read_some(boost::asio::buffer(&byte, 1), error);
    CHECK(error.failed());
  }
  while (server.SessionCount() > 0) {
    std::this_thread::yield();
  }
  CHECK(echo.closed_ == 2 * kWorkers);
  threads.Stop();
}

TEST_CASE("Listen fails for an unusable address", "[callerserver]")
{
  const auto address =
    GENERATE(as<std::string>(), "not an address", "192.0.2.1", "300.0.0.1", "");
  boost::asio::io_context context;
  Echo echo;
  const CallerWorker worker{ &context, &echo };
  CallerServerOptions options;
  options.address_ = address;
  CallerServer server({ &worker, 1 }, options);
  CHECK(server.Listen());
}

} // namespace wigeonlb::caller
