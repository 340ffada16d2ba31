#pragma once

#include <random>
#include <string>
#include <vector>

#include "testing/harness/pgclient.h"
#include "testing/loadclient/outcomes.h"
#include "testing/loadclient/settings.h"

namespace wigeonlb::testing::loadclient {

//! One session. Sends requests sequentially, moves between hosts with its
//! session token, and checks that it reads its own writes. Never repeats a
//! write.
class LoadSession
{
public:
  LoadSession(const Settings& aSettings, std::uint64_t aIndex);

  //! Sends requests until aEnd, or until the configured number was sent.
  void Run(Instant aEnd);

  Statistics ExtractStatistics() { return std::move(statistics_); }

private:
  bool EnsureConnected();
  bool SendToken();
  //! Waits until the next request is due. Returns false if aEnd comes first.
  bool WaitUntilDue(Instant aEnd);
  double SampleExponential(double aMean);
  void SendRequest();
  void SendWrite();
  void ReadOwnWrite();
  void ReadTolerant();
  std::string MakeInsert(const Write& aWrite) const;
  harness::QueryResult RunTransaction(const std::string& aInsert);
  bool SetTolerance(bool aTolerant);
  bool RecordRead(const harness::QueryResult& aResult, Instant aSentAt);
  void LogRead(Instant aSentAt);
  harness::QueryResult QueryRead(const std::string& aSql);
  harness::QueryResult Query(const std::string& aSql);
  void UpdateToken();
  void Disconnect();
  bool Chance(double aShare);

  const Settings& settings_;
  std::string name_;
  std::mt19937_64 random_;
  harness::PgConnection connection_;
  std::vector<harness::PgConnection> readConnections_;
  std::size_t host_ = 0;
  std::size_t nextRead_ = 0;
  Instant due_; //!< time of the next request
  std::string token_;
  bool tolerant_ = false; //!< wigeonlb.max_age is set on the connection
  std::uint64_t nextNumber_ = 1;
  std::uint64_t lastAcknowledged_ = 0;
  Statistics statistics_;
};

} // namespace wigeonlb::testing::loadclient
