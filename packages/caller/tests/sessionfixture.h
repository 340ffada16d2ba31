#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "caller/callerserver.h"

namespace wigeonlb::caller {

using namespace std::string_literals;
using boost::asio::ip::tcp;

inline constexpr CancelKey kKey{ 7, 9 };

// Records the callbacks as texts and answers with configurable functions.
class Recorder : public CallerObserver
{
public:
  void OnStartup(CallerSession& aSession,
                 const StartupRequest& aRequest) override
  {
    events_.push_back("startup " + aRequest.database_);
    session_ = &aSession;
    if (startup_) {
      startup_(aSession);
    }
    if (accept_) {
      aSession.AcceptStartup({}, kKey);
    }
  }
  void OnQuery(CallerSession& aSession, std::string_view aSql) override
  {
    events_.push_back("query " + std::string(aSql));
    if (answer_) {
      answer_(aSession);
    }
  }
  void OnCancel(const CancelKey& aKey) override
  {
    events_.push_back("cancel " + std::to_string(aKey.processId_) + "/" +
                      std::to_string(aKey.secret_));
  }
  void OnDrained(CallerSession&) override { events_.emplace_back("drained"); }
  void OnClosed(CallerSession&) override { events_.emplace_back("closed"); }

  bool accept_ = true;
  std::function<void(CallerSession&)> startup_;
  std::function<void(CallerSession&)> answer_ = [](CallerSession& aSession) {
    aSession.FinishQuery(TransactionStatus::Idle);
  };
  boost::intrusive_ptr<CallerSession> session_;
  std::vector<std::string> events_;
};

inline std::string
Message(char aType, const std::string& aPayload)
{
  const auto length = static_cast<char>(aPayload.size() + 4);
  return std::string(1, aType) + "\0\0\0"s + length + aPayload;
}

inline std::string
Query(const std::string& aSql)
{
  return Message('Q', aSql + '\0');
}

inline const std::string kStartup =
  "\0\0\0\x1b\0\x03\0\0user\0u\0database\0d\0\0"s;

inline std::string
ReadAvailable(tcp::socket& aClient)
{
  std::string chunk(aClient.available(), '\0');
  boost::asio::read(aClient, boost::asio::buffer(chunk));
  return chunk;
}

// A server with one worker; server and clients run on the test's thread.
struct Fixture
{
  explicit Fixture(CallerServerOptions aOptions = {})
    : server_(std::vector<CallerWorker>{ { &context_, &recorder_ } },
              SetAddress(std::move(aOptions)))
  {
    REQUIRE_FALSE(server_.Listen());
  }
  ~Fixture() { recorder_.session_.reset(); }

  static CallerServerOptions SetAddress(CallerServerOptions aOptions)
  {
    aOptions.address_ = "127.0.0.1";
    return aOptions;
  }

  tcp::socket Connect(const std::string& aBytes)
  {
    tcp::socket client(context_);
    client.connect(
      { boost::asio::ip::make_address("127.0.0.1"), server_.Port() });
    boost::asio::write(client, boost::asio::buffer(aBytes));
    return client;
  }

  // Runs the server until the condition holds; returns false after about 10 s.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    constexpr int kMaxIterations = 10000;
    for (int i = 0; i < kMaxIterations && !aCondition(); ++i) {
      context_.restart();
      context_.run_one_for(std::chrono::milliseconds(1));
    }
    return aCondition();
  }

  // Reads until the output ends with aEnd; returns all of it.
  std::string ReadUntil(tcp::socket& aClient, const std::string& aEnd)
  {
    std::string read;
    RunUntil([&] {
      read += ReadAvailable(aClient);
      return read.ends_with(aEnd);
    });
    CHECK(read.ends_with(aEnd));
    return read;
  }

  // Reads until the server closes the connection.
  std::string ReadToEnd(tcp::socket& aClient)
  {
    std::string read;
    aClient.non_blocking(true);
    CHECK(RunUntil([&] {
      std::array<char, 4096> chunk{};
      boost::system::error_code error;
      const auto bytes = aClient.read_some(boost::asio::buffer(chunk), error);
      read.append(chunk.data(), bytes);
      return error == boost::asio::error::eof ||
             error == boost::asio::error::connection_reset;
    }));
    return read;
  }

  bool HasEvent(const std::string& aEvent)
  {
    return std::count(
             recorder_.events_.begin(), recorder_.events_.end(), aEvent) > 0;
  }

  boost::asio::io_context context_;
  Recorder recorder_;
  CallerServer server_;
};

inline const std::string kReady = Message('Z', "I");
inline const std::string kAccepted =
  Message('R', "\0\0\0\0"s) + Message('K', "\0\0\0\x07\0\0\0\x09"s) + kReady;

} // namespace wigeonlb::caller
