#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <system_error>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include "foundation/clock.h"
#include "foundation/logposition.h"
#include "target/dialect.h"

namespace wigeonlb::target {

class TargetConnection;

//! As whom to connect.
struct Login
{
  std::string user_;
  std::string applicationName_; //!< see MakeApplicationName
};

//! Where and as whom to connect.
struct TargetAddress
{
  std::string hostAndPort_; //!< `10.0.0.7:5432`
  std::string database_;
  Login login_;
  //! Name and incarnation of the target that is meant: another one may have
  //! come up at the address.
  std::string target_ = {};
  std::uint64_t incarnation_ = 0;
};

//! One statement on its way to a target.
struct Query
{
  std::string text_;
  //! The caller's own id; empty for a statement of this host.
  std::string id_ = {};
};

//! Why a target ran nothing of a statement.
enum class Refusal
{
  None,     //!< it may have run
  Busy,     //!< no slot or connection is free
  ReadOnly, //!< it doesn't lead, or the transaction only reads
  Behind,   //!< its log lacks the position that was asked for
};

//! One column of an answer.
struct Column
{
  std::string name_;
  std::uint32_t typeOid_ = 0;
  std::int16_t typeSize_ = 0;
  std::int32_t typeModifier_ = -1;
};

//! The target's own error.
struct SqlError
{
  std::string severity_;
  std::string sqlstate_;
  std::string message_;
  std::string detail_;
  std::string hint_;
  Refusal refusal_ = Refusal::None;
};

//! What a connection tells its user, on the thread of its io_context.
class TargetObserver
{
public:
  virtual ~TargetObserver() = default;

  //! The connection can take a statement.
  virtual void OnOpened(TargetConnection& aConnection) = 0;
  //! The connection ended, or was never opened. Nothing follows.
  virtual void OnLost(TargetConnection& aConnection,
                      std::error_code aError,
                      const std::string& aDetail) = 0;
  //! A result with rows begins; aIndex counts the results of one Send.
  virtual void OnColumns(TargetConnection& aConnection,
                         std::size_t aIndex,
                         const std::vector<Column>& aColumns) = 0;
  virtual void OnRow(TargetConnection& aConnection,
                     std::size_t aIndex,
                     std::span<const Field> aRow) = 0;
  //! A statement was done; aTag is its command tag.
  virtual void OnComplete(TargetConnection& aConnection,
                          std::size_t aIndex,
                          std::string_view aTag) = 0;
  virtual void OnSqlError(TargetConnection& aConnection,
                          const SqlError& aError) = 0;
  //! The whole answer has come. aStatus is 'I', 'T' or 'E'; aPosition is where
  //! the target's log ends for reads, if its protocol tells.
  virtual void OnIdle(
    TargetConnection& aConnection,
    char aStatus,
    const std::optional<foundation::LogPosition>& aPosition) = 0;
};

//! A non-blocking connection to a target, used on the thread of one io_context.
//! NOTE After Close the observer is not called any more.
class TargetConnection
  : public boost::intrusive_ref_counter<TargetConnection,
                                        boost::thread_unsafe_counter>
{
public:
  TargetConnection() = default;
  virtual ~TargetConnection() = default;
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  //! Begins to connect; ends in OnOpened or OnLost.
  virtual void Open(const TargetAddress& aAddress,
                    foundation::Duration aTimeout) = 0;

  //! Hands over queries, to be run in order. Only when idle. Returns false when
  //! the connection was lost instead; OnLost follows.
  virtual bool Send(std::span<const Query> aQueries) = 0;

  //! Stops taking rows from the socket until Resume.
  virtual void Pause() = 0;
  virtual void Resume() = 0;

  //! Asks the target to cancel what runs, where the protocol can.
  virtual void Cancel() = 0;

  //! Closes at once; a statement that runs is left to the target.
  virtual void Close() = 0;

  //! The target's id of this session; 0 while it isn't open, or without ids.
  virtual std::int32_t GetBackendId() const = 0;

  virtual bool IsOpen() const = 0;
};

using TargetConnectionPointer = boost::intrusive_ptr<TargetConnection>;

//! A protocol of targets.
struct Protocol
{
  TargetConnectionPointer (*connect_)(boost::asio::io_context& aContext,
                                      TargetObserver& aObserver);
  //! The dialect of that name, or the protocol's first one.
  const Dialect& (*dialect_)(std::string_view aName);
  //! Idle connections are asked something after this time, to find those that
  //! have silently died. Long where the connection itself finds out.
  foundation::Duration idleCheckInterval_;
};

//! PostgreSQL, by libpq.
const Protocol&
PostgresqlProtocol();

} // namespace wigeonlb::target
