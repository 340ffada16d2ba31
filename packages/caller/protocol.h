#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>

#include "caller/frames.h"
#include "caller/startup.h"

//! The port of callers' protocols: bytes to requests, answers to bytes.
namespace wigeonlb::caller {

//! The caller opens its session.
struct StartupInput
{
  StartupRequest request_;
  std::string negotiation_; //!< sent before the answer; may be empty
};

//! The statement of another session is to be cancelled.
struct CancelInput
{
  CancelKey key_;
};

//! A statement is to be run.
struct QueryInput
{
  std::string_view id_; //!< the caller's own; empty where there is none
  std::string_view text_;
};

//! A message that needs no observer: these frames answer it.
struct DirectReply
{
  std::string frames_;
};

//! The caller ends its session.
struct TerminateInput
{};

using CallerInput = std::
  variant<StartupInput, CancelInput, QueryInput, DirectReply, TerminateInput>;

//! Cuts one caller's bytes into requests.
class Decoder
{
public:
  virtual ~Decoder() = default;

  virtual void Feed(std::string_view aBytes) = 0;

  //! Takes the next request; leaves aInput empty when more bytes are needed.
  //! Its views are valid until the next call. After an error the decoder gives
  //! the same error again.
  virtual std::error_code ReadNext(TransactionStatus aStatus,
                                   std::optional<CallerInput>& aInput) = 0;

  //! Bytes held that were not taken yet.
  virtual std::size_t PendingBytes() const = 0;
};

//! A protocol of callers. Every encoder appends whole frames.
struct Protocol
{
  //! A message longer than aMaxMessageBytes is an error.
  std::unique_ptr<Decoder> (*makeDecoder_)(std::size_t aMaxMessageBytes);

  //! The session is open; ready for a query follows.
  void (*appendAccepted_)(std::string& aFrames,
                          std::span<const Parameter> aParameters,
                          const CancelKey& aKey);
  void (*appendReady_)(std::string& aFrames, TransactionStatus aStatus);
  //! The session ends with this error.
  void (*appendFatal_)(std::string& aFrames, const ErrorFields& aError);
  void (*appendError_)(std::string& aFrames, const ErrorFields& aError);
  void (*appendParameter_)(std::string& aFrames,
                           std::string_view aName,
                           std::string_view aValue);
  void (*appendColumns_)(std::string& aFrames,
                         std::span<const ColumnDescription> aColumns);
  void (*appendRow_)(std::string& aFrames,
                     std::span<const std::optional<std::string_view>> aValues);
  //! A statement was done by a target, which gave the tag.
  void (*appendComplete_)(std::string& aFrames, std::string_view aTag);
  //! A statement was done by this host without a target.
  void (*appendLocalComplete_)(std::string& aFrames, std::string_view aTag);
  void (*appendEmpty_)(std::string& aFrames);
};

//! PostgreSQL 3.0, simple query protocol.
const Protocol&
PostgresqlProtocol();

} // namespace wigeonlb::caller
