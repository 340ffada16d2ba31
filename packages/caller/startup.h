#pragma once

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "caller/frames.h"

namespace wigeonlb::caller {

//! What a caller tells of itself when it connects.
struct StartupRequest
{
  std::string user_;
  std::string database_; //!< the user's name when none was given
  //! The remaining startup parameters, in order, without `options`.
  std::vector<Parameter> parameters_;
  //! Settings given in `options` as `-c name=value`, in order.
  std::vector<Parameter> settings_;
  std::uint16_t protocolMinor_ = 0;
  //! Names of `_pq_.` protocol options, none of which is known.
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
  StartupRequest request_; //!< of a Startup
  CancelKey cancelKey_;    //!< of a CancelRequest
};

//! Reads the payload that FrameReader::ReadStartup gave.
std::error_code
ParseStartupPacket(std::string_view aPayload, StartupPacket& aPacket);

//! Reads the startup parameter `options`: `-c name=value`, `-cname=value` and
//! `--name=value`, apart by spaces; a backslash keeps the next character.
std::error_code
ParseOptions(std::string_view aOptions, std::vector<Parameter>& aSettings);

} // namespace wigeonlb::caller
