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

//! The identity under which a host connects to targets.
struct Login
{
  std::string user_;
  std::string applicationName_; //!< see MakeApplicationName
};

//! What a connection needs to open: address, database and login.
struct TargetAddress
{
  std::string hostAndPort_; //!< `10.0.0.7:5432`
  std::string database_;
  Login login_;
  //! Name and incarnation of the intended target: another target may have
  //! started at the same address.
  std::string target_ = {};
  std::uint64_t incarnation_ = 0;
  //! The organisation whose statements the connection carries, for protocols
  //! that tell the target; empty: none in particular.
  std::string organisation_ = {};
};

//! One statement to send to a target.
struct Query
{
  std::string text_;
  //! The request id that the caller chose; empty for a statement of the proxy
  //! itself.
  std::string id_ = {};
};

//! Why a target refused a statement without running any part of it.
enum class Refusal
{
  None,     //!< not refused: the statement may have run
  Busy,     //!< no slot or connection is free
  ReadOnly, //!< the target is no primary, or the transaction is read-only
  Behind,   //!< its log has not reached the requested position
};

//! Description of one result column; the values are those of PostgreSQL's
//! RowDescription.
struct Column
{
  std::string name_;
  std::uint32_t typeOid_ = 0;
  std::int16_t typeSize_ = 0;
  std::int32_t typeModifier_ = -1;
};

//! An SQL error that the target returned.
struct SqlError
{
  std::string severity_;
  std::string sqlstate_;
  std::string message_;
  std::string detail_;
  std::string hint_;
  Refusal refusal_ = Refusal::None;
};

//! Receives the events of a connection, on the thread of its io_context.
class TargetObserver
{
public:
  virtual ~TargetObserver() = default;

  //! The connection is open and idle.
  virtual void OnOpened(TargetConnection& aConnection) = 0;
  //! The connection ended or could not be opened. No other call follows.
  virtual void OnLost(TargetConnection& aConnection,
                      std::error_code aError,
                      const std::string& aDetail) = 0;
  //! A result with rows begins. aIndex numbers the results of one Send from 0.
  virtual void OnColumns(TargetConnection& aConnection,
                         std::size_t aIndex,
                         const std::vector<Column>& aColumns) = 0;
  virtual void OnRow(TargetConnection& aConnection,
                     std::size_t aIndex,
                     std::span<const Field> aRow) = 0;
  //! A statement completed; aTag is its command tag.
  virtual void OnComplete(TargetConnection& aConnection,
                          std::size_t aIndex,
                          std::string_view aTag) = 0;
  virtual void OnSqlError(TargetConnection& aConnection,
                          const SqlError& aError) = 0;
  //! The response to one Send is complete. aStatus is 'I' (idle), 'T' (in a
  //! transaction) or 'E' (in a failed transaction). aPosition is the log
  //! position that reads on the target see, if the protocol reports it.
  virtual void OnIdle(
    TargetConnection& aConnection,
    char aStatus,
    const std::optional<foundation::LogPosition>& aPosition) = 0;
};

//! A non-blocking connection to a target, used on the thread of one io_context.
//! NOTE The observer is not called after Close.
class TargetConnection
  : public boost::intrusive_ref_counter<TargetConnection,
                                        boost::thread_unsafe_counter>
{
public:
  TargetConnection() = default;
  virtual ~TargetConnection() = default;
  TargetConnection(const TargetConnection&) = delete;
  TargetConnection& operator=(const TargetConnection&) = delete;

  //! Starts to connect. OnOpened or OnLost follows, never from within Open.
  virtual void Open(const TargetAddress& aAddress,
                    foundation::Duration aTimeout) = 0;

  //! Sends queries, which run in this order. The connection must be idle.
  //! Returns false if the connection was lost; OnLost is called for it.
  virtual bool Send(std::span<const Query> aQueries) = 0;

  //! Stops reading rows from the socket until Resume.
  virtual void Pause() = 0;
  virtual void Resume() = 0;

  //! Requests cancellation of the running statement if the protocol supports
  //! it.
  virtual void Cancel() = 0;

  //! Closes immediately. A running statement is not cancelled.
  virtual void Close() = 0;

  //! Returns the target's id of this session, or 0 if the connection is not
  //! open or the protocol has no such ids.
  virtual std::int32_t GetBackendId() const = 0;

  virtual bool IsOpen() const = 0;
};

using TargetConnectionPointer = boost::intrusive_ptr<TargetConnection>;

//! A protocol that targets speak.
struct Protocol
{
  TargetConnectionPointer (*connect_)(boost::asio::io_context& aContext,
                                      TargetObserver& aObserver);
  //! Returns the dialect with this name, or the protocol's default one.
  const Dialect& (*dialect_)(std::string_view aName);
  //! Idle time after which a connection is probed to detect one that broke
  //! without notice. Long if the connection detects this itself.
  foundation::Duration idleCheckInterval_;
};

//! The PostgreSQL protocol, implemented with libpq.
const Protocol&
PostgresqlProtocol();

} // namespace wigeonlb::target
