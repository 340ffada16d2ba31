#pragma once

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "caller/frames.h"

namespace wigeonlb::caller {

//! Contents of the startup packet that a caller sends when it connects.
struct StartupRequest
{
  std::string user_;
  std::string database_; //!< defaults to the user's name
  //! The remaining startup parameters, in order, without `options`.
  std::vector<Parameter> parameters_;
  //! Settings from `options` (`-c name=value`), in order.
  std::vector<Parameter> settings_;
  std::uint16_t protocolMinor_ = 0;
  //! Names of `_pq_.` protocol options. None of them is supported.
  std::vector<std::string> protocolOptions_;
};

enum class StartupKind
{
  Startup,
  SslRequest,
  GssEncryptionRequest,
  CancelRequest,
};

//! The first packet of a connection.
struct StartupPacket
{
  StartupKind kind_ = StartupKind::Startup;
  StartupRequest request_; //!< set if kind_ is Startup
  CancelKey cancelKey_;    //!< set if kind_ is CancelRequest
};

//! Parses the payload of a packet that FrameReader::ReadStartup returned.
std::error_code
ParseStartupPacket(std::string_view aPayload, StartupPacket& aPacket);

//! Parses the startup parameter `options`: `-c name=value`, `-cname=value` and
//! `--name=value`, separated by white space. A backslash escapes the next
//! character.
std::error_code
ParseOptions(std::string_view aOptions, std::vector<Parameter>& aSettings);

} // namespace wigeonlb::caller
