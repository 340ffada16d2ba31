#include <catch2/catch.hpp>

#include "core/trace/checktraces.h"
#include "core/trace/tests/traceparsing.h"

namespace wigeonlb::core::trace::tests {

namespace {

//! Log entries that create group g, admit the targets a and b, and make a the
//! primary of term 1.
constexpr const char* kTermOneLog =
  R"({"applied":{"index":1,"term":1,"record":{"change":{"change_id":"x","operations":[{"create_group":{"group":"g"}}]}}}}
{"applied":{"index":2,"term":1,"record":{"admit":{"group":"g","target":{"target":"a","counted":true,"incarnation":1}}}}}
{"applied":{"index":3,"term":1,"record":{"admit":{"group":"g","target":{"target":"b","counted":true,"incarnation":1}}}}}
{"applied":{"index":4,"term":1,"record":{"choose":{"group":"g","term":1,"target":"a"}}}}
{"applied":{"index":5,"term":1,"record":{"confirm":{"group":"g","term":1,"target":"a"}}}}
)";

//! Entries that fence term 1 and choose b for term 2, starting at offset 50.
constexpr const char* kTermTwoChosen =
  R"({"applied":{"index":6,"term":1,"record":{"fence":{"group":"g","term":1}}}}
{"applied":{"index":7,"term":1,"record":{"choose":{"group":"g","term":2,"target":"b","start_offset":50,"parent_term":1}}}}
)";
constexpr const char* kTermTwoConfirmed =
  R"({"applied":{"index":8,"term":1,"record":{"confirm":{"group":"g","term":2,"target":"b","start_offset":50}}}}
)";

//! An owner receives the state of group g: targets a, b and c, with a as the
//! primary of term 1.
constexpr const char* kOwnerState =
  R"({"group_in_force":{"owner":1,"group":{"group":"g","term":1,"primary":"a","history":[{"term":1,"primary":"a"}],"targets":[{"target":"a","counted":true,"incarnation":1},{"target":"b","counted":true,"incarnation":1},{"target":"c","counted":true,"incarnation":1}]}}}
)";

std::string
Grant(std::string_view aTerm)
{
  return R"({"failover_step":{"now_us":1,"tick":true,"actions":[{"reply":{"host":"h","reply":{"grants":[{"group":"g","primary":"a","term":)" +
         std::string(aTerm) + "}]}}}]}}\n";
}

//! A write at term 1, offset 40, that is synced by a. aSeenAtB are the fields
//! of b's last known position.
std::string
Acknowledged(std::string_view aSeenAtB,
             std::string_view aGrant = R"("grant_term":1,"lease_left_us":9)")
{
  return R"({"write_acknowledged":{"key":{"group":"g","owner":1,"session":5,"request":1},"position":{"term":1,"offset":40},)" +
         std::string(aGrant) +
         R"(,"seen":[{"target":"a","adopted_term":1,"synced_offset":40,"incarnation":1},{"target":"b",)" +
         std::string(aSeenAtB) + "}]}}\n";
}

constexpr const char* kSyncedAtB =
  R"("adopted_term":1,"synced_offset":41,"incarnation":1)";

std::string
HandedOver(std::string_view aRequest,
           std::string_view aMore = {},
           std::string_view aSession = "5")
{
  return R"({"handed_over":{"key":{"group":"g","owner":1,"session":)" +
         std::string(aSession) + R"(,"request":)" + std::string(aRequest) +
         R"(},"target":"a","connection":7)" + std::string(aMore) + "}}\n";
}

std::string
Finished(std::string_view aOutcome)
{
  return R"({"request_finished":{"key":{"group":"g","owner":1,"session":5,"request":1},"outcome":")" +
         std::string(aOutcome) + "\"}}\n";
}

std::string
ReadAt(std::string_view aTerm, std::string_view aOffset)
{
  return R"({"read_answered":{"key":{"group":"g","owner":1,"session":5,"request":2},"floor":{"term":1,"offset":30},"position":{"term":)" +
         std::string(aTerm) + R"(,"offset":)" + std::string(aOffset) + "}}}\n";
}

std::string
InTransaction(std::string_view aStatus)
{
  return R"({"transaction_status":{"key":{"group":"g","owner":1,"session":5,"request":1},"connection":7,"status":")" +
         std::string(aStatus) + "\"}}\n";
}

const std::string kAcknowledged =
  std::string(kOwnerState) + Acknowledged(kSyncedAtB);
const std::string kTermOneText = kTermOneLog;
const std::string kStopped = R"({"grant_stopped":{"group":"g","term":1}})"
                             "\n";
const std::string kDrained = R"({"grant_drained":{"group":"g","term":1}})"
                             "\n";
const std::string kHeld =
  R"({"grant_held":{"grant":{"group":"g","term":1,"primary":"a"}}})"
  "\n";
const std::string kRefused =
  R"({"refused_by_target":{"key":{"group":"g","owner":1,"session":5,"request":1}}})"
  "\n";
const std::string kDraining =
  R"({"at_us":1000,"group_in_force":{"owner":1,"group":{"group":"g"},"targets":[{"target":"a"}]}})"
  "\n";

std::string
WithTime(std::string aLine, std::string_view aAtUs)
{
  return aLine.insert(1, R"("at_us":)" + std::string(aAtUs) + ",");
}

struct Row
{
  std::string_view rule_;
  std::string violating_;
  std::string conforming_;
};

const std::vector<Row>&
Rows()
{
  static const std::vector<Row> rows{
    { rule::kOneLog,
      kTermOneText + "---\n" + R"({"applied":{"index":2,"term":2}})",
      kTermOneText + "---\n" + kTermOneLog },
    { rule::kOneLeader,
      R"({"leadership":{"leader":"m1","term":4,"leads":true}}
---
{"leadership":{"leader":"m2","term":4,"leads":true}})",
      R"({"leadership":{"leader":"m1","term":4,"leads":true}}
---
{"leadership":{"term":4}}
{"leadership":{"leader":"m2","term":5,"leads":true}})" },
    { rule::kOnePrimary,
      kTermOneText +
        R"({"grant_held":{"grant":{"group":"g","term":1,"primary":"b"}}})",
      kTermOneText +
        R"({"grant_held":{"grant":{"group":"g","term":1,"primary":"a"}}})" },
    { rule::kGrantAfterFence,
      kTermOneText + kTermTwoChosen + Grant("1"),
      kTermOneText + Grant("1") + kTermTwoChosen },
    { rule::kGrantAfterFence,
      kTermOneText + kTermTwoChosen + "---\n" + kTermOneLog + Grant("1"),
      kTermOneText + "---\n" + kTermOneLog + Grant("1") },
    { rule::kGrantAfterFence, kTermOneText + Grant("2"), kTermOneText },
    { rule::kRevisionBack,
      R"({"revision_in_force":{"revision":8}}
{"revision_in_force":{"revision":7}})",
      R"({"revision_in_force":{"revision":7}}
{"revision_in_force":{"revision":7}}
---
{"revision_in_force":{"revision":3}})" },
    { rule::kNoMajority,
      kOwnerState +
        Acknowledged(R"("adopted_term":1,"synced_offset":39,"incarnation":1)"),
      kAcknowledged },
    { rule::kNoMajority,
      kOwnerState +
        Acknowledged(R"("adopted_term":2,"synced_offset":50,"incarnation":1)"),
      kAcknowledged },
    { rule::kNoMajority,
      kOwnerState +
        Acknowledged(R"("adopted_term":1,"synced_offset":50,"incarnation":2)"),
      kAcknowledged },
    { rule::kNoMajority, Acknowledged(kSyncedAtB), kAcknowledged },
    { rule::kNoGrant,
      kOwnerState +
        Acknowledged(kSyncedAtB, R"("grant_term":1,"lease_left_us":0)"),
      kAcknowledged },
    { rule::kNoGrant,
      kOwnerState +
        Acknowledged(kSyncedAtB, R"("grant_term":2,"lease_left_us":9)"),
      kAcknowledged },
    { rule::kNoGrant,
      kOwnerState +
        std::string(R"({"grant_released":{"group":"g","term":1}})") + "\n" +
        Acknowledged(kSyncedAtB),
      kOwnerState + std::string(R"({"grant_stopped":{"group":"g","term":1}})") +
        "\n" + Acknowledged(kSyncedAtB) },
    { rule::kNoGrant,
      kOwnerState + kStopped + kDrained + kHeld + Acknowledged(kSyncedAtB),
      kOwnerState + kDrained + kHeld + Acknowledged(kSyncedAtB) },
    { rule::kNoGrant,
      kOwnerState + kDrained + Acknowledged(kSyncedAtB),
      kOwnerState + kStopped + Acknowledged(kSyncedAtB) },
    { rule::kAfterChoice,
      kTermOneText + kTermTwoChosen + "---\n" + kAcknowledged,
      kTermOneText + "---\n" + kAcknowledged + "---\n" + kTermOneLog +
        kTermTwoChosen },
    { rule::kLostWrite,
      "---\n" + kAcknowledged + "---\n" + kTermOneLog + kTermTwoChosen +
        R"({"applied":{"index":8,"term":1,"record":{"confirm":{"group":"g","term":2,"target":"b","start_offset":39}}}})",
      "---\n" + kAcknowledged + "---\n" + kTermOneLog + kTermTwoChosen +
        kTermTwoConfirmed },
    { rule::kHandedOverTwice,
      HandedOver("1") + HandedOver("1"),
      HandedOver("1") + HandedOver("2") +
        HandedOver("3", R"(,"repeatable":true)") +
        HandedOver("3", R"(,"repeatable":true)") +
        HandedOver("4", R"(,"statement_class":"STATEMENT_READ")") +
        HandedOver("4", R"(,"statement_class":"STATEMENT_READ")") },
    { rule::kHandedOverTwice,
      HandedOver("1", R"(,"repeatable":true,"in_transaction":true)") +
        HandedOver("1", R"(,"repeatable":true,"in_transaction":true)"),
      HandedOver("1") + HandedOver("1", {}, "6") },
    { rule::kNotRun,
      HandedOver("1") + Finished("OUTCOME_NOT_RUN"),
      HandedOver("1") + Finished("OUTCOME_UNKNOWN") },
    { rule::kNotRun,
      HandedOver("1", R"(,"repeatable":true)") + kRefused +
        HandedOver("1", R"(,"repeatable":true)") + Finished("OUTCOME_NOT_RUN"),
      HandedOver("1", R"(,"statement_class":"STATEMENT_READ")") + kRefused +
        Finished("OUTCOME_NOT_RUN") },
    { rule::kNotRun,
      Finished("OUTCOME_NOT_RUN") + HandedOver("1"),
      Finished("OUTCOME_NOT_RUN") + HandedOver("2") },
    { rule::kFinishedTwice,
      Finished("OUTCOME_DONE") + Finished("OUTCOME_DONE"),
      Finished("OUTCOME_DONE") },
    { rule::kBelowFloor, ReadAt("1", "29"), ReadAt("1", "30") },
    { rule::kBelowFloor, ReadAt("0", "99"), ReadAt("2", "31") },
    { rule::kOwnWrite,
      kAcknowledged + ReadAt("1", "39"),
      ReadAt("1", "39") + kAcknowledged + ReadAt("1", "40") },
    { rule::kDrainedTarget,
      kDraining + WithTime(HandedOver("1"), "3001001"),
      kDraining + WithTime(HandedOver("1"), "3001000") +
        WithTime(HandedOver("2", R"(,"in_transaction":true)"), "9000000") },
    { rule::kMixedTransactions,
      InTransaction("T") + HandedOver("1", {}, "6"),
      InTransaction("T") + HandedOver("2", R"(,"in_transaction":true)") +
        InTransaction("I") + HandedOver("1", {}, "6") },
  };
  return rows;
}

std::vector<std::string>
FindViolatedRules(const std::string& aText)
{
  std::vector<std::string> rules;
  for (const auto& finding : CheckTraces(ParseTraces(aText))) {
    INFO(finding.trace_ << ":" << finding.number_ << " " << finding.text_);
    CHECK(finding.number_ > 1);
    rules.push_back(finding.rule_);
  }
  return rules;
}

} // namespace

TEST_CASE("each rule finds its violation and nothing else", "[trace]")
{
  const auto row = GENERATE(from_range(Rows()));
  INFO(row.rule_ << "\nviolating:\n"
                 << row.violating_ << "\nconforming:\n"
                 << row.conforming_);
  CHECK(FindViolatedRules(row.violating_) ==
        std::vector<std::string>{ std::string(row.rule_) });
  CHECK(FindViolatedRules(row.conforming_).empty());
}

TEST_CASE("a finding refers to the violating record", "[trace]")
{
  const auto found =
    CheckTraces(ParseTraces("---\n" + kAcknowledged + ReadAt("1", "39")));
  REQUIRE(found.size() == 1);
  CHECK(found[0].trace_ == 1);
  CHECK(found[0].number_ == 4);
}

TEST_CASE("dropped records cause no findings but hide no proven violation",
          "[trace]")
{
  const std::string dropped = R"({"dropped":{"records":3}})"
                              "\n";
  struct Row
  {
    std::string text_;
    std::size_t findings_;
  };
  const auto row = GENERATE_COPY(values<Row>({
    { dropped + Acknowledged(kSyncedAtB), 0 },
    { kDraining + dropped + WithTime(HandedOver("1"), "9000000"), 0 },
    { InTransaction("T") + dropped + HandedOver("1", {}, "6"), 0 },
    { kTermOneText + dropped + Grant("2"), 0 },
    { HandedOver("1") + dropped + HandedOver("1"), 1 },
    { HandedOver("1") + dropped + Finished("OUTCOME_NOT_RUN"), 1 },
  }));
  INFO(row.text_);
  CHECK(FindViolatedRules(row.text_).size() == row.findings_);
}

} // namespace wigeonlb::core::trace::tests
