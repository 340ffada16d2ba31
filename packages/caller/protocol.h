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

//! Interface of the protocols that callers use: decodes their bytes into
//! requests and encodes replies.
namespace wigeonlb::caller {

//! A request to open a session.
struct StartupInput
{
  StartupRequest request_;
  std::string negotiation_; //!< sent before the reply; may be empty
};

//! A request to cancel the query of another session.
struct CancelInput
{
  CancelKey key_;
};

//! A request to run a statement.
struct QueryInput
{
  std::string_view id_; //!< assigned by the caller; empty if there is none
  std::string_view text_;
};

//! A message that the session answers with these frames, without calling its
//! observer.
struct DirectReply
{
  std::string frames_;
};

//! A request to close the session.
struct TerminateInput
{};

using CallerInput = std::
  variant<StartupInput, CancelInput, QueryInput, DirectReply, TerminateInput>;

//! Decodes the byte stream of one caller into requests.
class Decoder
{
public:
  virtual ~Decoder() = default;

  virtual void Feed(std::string_view aBytes) = 0;

  //! Decodes the next request; leaves aInput empty when more bytes are needed.
  //! Its views are valid until the next call. After an error, every later call
  //! returns the same error.
  virtual std::error_code ReadNext(TransactionStatus aStatus,
                                   std::optional<CallerInput>& aInput) = 0;

  //! The number of buffered bytes that have not been decoded.
  virtual std::size_t PendingBytes() const = 0;
};

//! A protocol that callers use. Every encoder appends complete frames.
struct Protocol
{
  //! Messages longer than aMaxMessageBytes are errors.
  std::unique_ptr<Decoder> (*makeDecoder_)(std::size_t aMaxMessageBytes);

  //! Confirms that the session is open. appendReady_ follows.
  void (*appendAccepted_)(std::string& aFrames,
                          std::span<const Parameter> aParameters,
                          const CancelKey& aKey);
  void (*appendReady_)(std::string& aFrames, TransactionStatus aStatus);
  //! An error after which the connection is closed.
  void (*appendFatal_)(std::string& aFrames, const ErrorFields& aError);
  void (*appendError_)(std::string& aFrames, const ErrorFields& aError);
  //! Tells a caller without a request in progress to disconnect. A caller whose
  //! request crosses it takes it for that request's response: the request must
  //! not be run, and appendReady_ completes the response. Null: appendFatal_ is
  //! sent instead and the connection is closed; it completes a response.
  void (*appendDisconnect_)(std::string& aFrames, const ErrorFields& aError);
  void (*appendParameter_)(std::string& aFrames,
                           std::string_view aName,
                           std::string_view aValue);
  void (*appendColumns_)(std::string& aFrames,
                         std::span<const ColumnDescription> aColumns);
  void (*appendRow_)(std::string& aFrames,
                     std::span<const std::optional<std::string_view>> aValues);
  //! A target completed the statement and returned the tag.
  void (*appendComplete_)(std::string& aFrames, std::string_view aTag);
  //! This host completed the statement without a target.
  void (*appendLocalComplete_)(std::string& aFrames, std::string_view aTag);
  void (*appendEmpty_)(std::string& aFrames);
  //! The caller's name may be a key, which must not be logged or sent on.
  bool userIsSecret_ = false;
};

//! The PostgreSQL 3.0 protocol, simple query only.
const Protocol&
PostgresqlProtocol();

} // namespace wigeonlb::caller
