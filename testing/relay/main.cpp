#include <iostream>
#include <istream>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <unistd.h>

#include "testing/relay/relay.h"

namespace wigeonlb::testing::relay {

namespace {

//! Runs the commands that arrive on standard input until it is closed.
class CommandReader
{
public:
  explicit CommandReader(boost::asio::io_context& aContext)
    : context_(aContext)
    , input_(aContext, dup(STDIN_FILENO))
    , relay_(aContext)
  {
  }

  void Read()
  {
    boost::asio::async_read_until(
      input_, buffer_, '\n', [this](const auto& aError, std::size_t) {
        if (aError) {
          context_.stop();
          return;
        }
        std::istream stream(&buffer_);
        std::string command;
        std::getline(stream, command);
        const std::string failure = relay_.Run(command);
        std::cout << (failure.empty() ? "ok" : failure) << std::endl;
        Read();
      });
  }

private:
  boost::asio::io_context& context_;
  boost::asio::posix::stream_descriptor input_;
  boost::asio::streambuf buffer_;
  Relay relay_;
};

} // namespace

} // namespace wigeonlb::testing::relay

int
main()
{
  boost::asio::io_context context(1);
  wigeonlb::testing::relay::CommandReader reader(context);
  reader.Read();
  context.run();
  return 0;
}
