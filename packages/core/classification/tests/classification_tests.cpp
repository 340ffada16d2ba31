#include <catch2/catch.hpp>

#include "core/classification/classification.h"

namespace wigeonlb::core::classification {

namespace {

constexpr auto kWrite = wire::STATEMENT_WRITE;
constexpr auto kRead = wire::STATEMENT_READ;
constexpr auto kPrimaryRead = wire::STATEMENT_PRIMARY_READ;
constexpr auto kBegin = wire::STATEMENT_BEGIN;
constexpr auto kCommit = wire::STATEMENT_COMMIT;
constexpr auto kRollback = wire::STATEMENT_ROLLBACK;

} // namespace

TEST_CASE("statements are classified by their effect", "[classification]")
{
  struct Row
  {
    std::string text_;
    wire::StatementClass class_;
    std::size_t statementCount_ = 1;
  };
  const auto row = GENERATE(values<Row>({
    { "select 1", kRead },
    { "select count(*), now() from badges where lower(name) = 'a'", kRead },
    { "select pg_catalog.upper(a) from b join c using (d)", kRead },
    { "with x as (select 1) select * from x union select 2", kRead },
    { "select extract(year from now()), current_user, a::int from t", kRead },
    { "select case when a is null then coalesce(b, 1) end from t", kRead },
    { "select rank() over (partition by a order by b) from t", kRead },
    { "values (1), (2)", kRead },
    { "table badges", kRead },
    { "explain select 1", kRead },
    { "explain analyze select 1", kRead },
    { "explain delete from t", kPrimaryRead },
    { "explain analyze delete from t", kWrite },
    { "select 1; select 2", kRead, 2 },
    { "", kRead, 0 },
    { "-- nothing", kRead, 0 },
    { "select * from t for update", kPrimaryRead },
    { "select * from (select 1 from t for share) x", kPrimaryRead },
    { "select 1; select * from t for update", kPrimaryRead, 2 },
    { "select * into u from t", kWrite },
    { "create table u as select 1", kWrite },
    { "with x as (delete from a returning *) select * from x", kWrite },
    { "select nextval('s')", kWrite },
    { "select my_function(1)", kWrite },
    { "select other.lower('A')", kWrite },
    { "select 1 operator(other.+) 2", kWrite },
    { "select pg_notify('a', 'b')", kWrite },
    { "select (select my_function(1)) from t", kWrite },
    { "select 1 union all select my_function(1)", kWrite },
    { "insert into t values (1)", kWrite },
    { "insert into t select 1 returning a", kWrite },
    { "update t set a = 1", kWrite },
    { "select 1; update t set a = 1", kWrite, 2 },
    { "update t set a = 1; select 1", kWrite, 2 },
    { "do $$ begin end $$", kWrite },
    { "call p()", kWrite },
    { "vacuum t", kWrite },
    { "lock table t", kWrite },
    { "notify a", kWrite },
    { "begin", kBegin },
    { "begin read only", kBegin },
    { "start transaction isolation level serializable", kBegin },
    { "commit", kCommit },
    { "end", kCommit },
    { "rollback", kRollback },
    { "abort", kRollback },
    { "show server_version", kPrimaryRead },
  }));
  CAPTURE(row.text_);
  const auto result = Classify(row.text_);
  CHECK_FALSE(result.refusal_);
  CHECK_FALSE(result.proxySetting_);
  CHECK_FALSE(result.requiresTransaction_);
  CHECK(result.class_ == row.class_);
  CHECK(result.statementCount_ == row.statementCount_);
}

TEST_CASE("some statements require a transaction", "[classification]")
{
  const auto* text = GENERATE("declare c cursor for select 1",
                              "fetch 1 from c",
                              "close c",
                              "set local work_mem = 1",
                              "set transaction read only",
                              "set constraints all deferred",
                              "savepoint s",
                              "release s",
                              "rollback to s",
                              "select currval('s')");
  CAPTURE(text);
  const auto result = Classify(text);
  CHECK_FALSE(result.refusal_);
  CHECK(result.requiresTransaction_);
  CHECK(result.class_ != kRollback);
  CHECK(result.class_ != kRead);
}

TEST_CASE("statements that can't run on a pooled connection are refused",
          "[classification]")
{
  struct Row
  {
    std::string text_;
    std::string sqlstate_;
    std::int32_t position_ = 0;
  };
  const auto row = GENERATE(values<Row>({
    { "listen a", "0A000" },
    { "unlisten *", "0A000" },
    { "set work_mem = 1", "0A000" },
    { "reset all", "0A000" },
    { "set session characteristics as transaction read only", "0A000" },
    { "set role a", "0A000" },
    { "discard all", "0A000" },
    { "prepare p as select 1", "0A000" },
    { "execute p", "0A000" },
    { "deallocate p", "0A000" },
    { "load 'a'", "0A000" },
    { "copy t from stdin", "0A000" },
    { "declare c cursor with hold for select 1", "0A000" },
    { "create temp table t (a int)", "0A000", 19 },
    { "create table pg_temp.t (a int)", "0A000", 14 },
    { "select 1 into temp t", "0A000", 20 },
    { "create temporary view v as select 1", "0A000", 23 },
    { "select pg_advisory_lock(1)", "0A000", 8 },
    { "select pg_try_advisory_lock(1)", "0A000", 8 },
    { "insert into t select set_config('a', 'b', false)", "0A000", 22 },
    { "begin; select 1; commit", "0A000" },
    { "select 1; set wigeonlb.max_age = '5s'", "0A000" },
    { "set local wigeonlb.max_age = '5s'", "0A000" },
    { "commit and chain", "0A000" },
    { "prepare transaction 'a'", "0A000" },
    { "commit prepared 'a'", "0A000" },
    { "selec 1", "42601", 1 },
    { "select 1 frm t where", "42601", 14 },
    { std::string("select 1\0; drop table t", 23), "42601" },
  }));
  CAPTURE(row.text_);
  const auto result = Classify(row.text_);
  REQUIRE(result.refusal_);
  CHECK(result.refusal_->sqlstate_ == row.sqlstate_);
  CHECK(result.refusal_->position_ == row.position_);
}

TEST_CASE("statements about wigeonlb settings are recognised",
          "[classification]")
{
  using Verb = ProxySetting::Verb;
  struct Row
  {
    std::string text_;
    Verb verb_;
    std::string name_, value_;
  };
  const auto row = GENERATE(values<Row>({
    { "set wigeonlb.session = 'AbC'", Verb::Set, "session", "AbC" },
    { "SET wigeonlb.max_age TO '5s'", Verb::Set, "max_age", "5s" },
    { "set wigeonlb.deadline = 250", Verb::Set, "deadline", "250" },
    { "set wigeonlb.max_age to default", Verb::Reset, "max_age", "" },
    { "reset wigeonlb.max_age", Verb::Reset, "max_age", "" },
    { "show wigeonlb.session", Verb::Show, "session", "" },
  }));
  CAPTURE(row.text_);
  const auto result = Classify(row.text_);
  REQUIRE(result.proxySetting_);
  CHECK(result.proxySetting_->verb_ == row.verb_);
  CHECK(result.proxySetting_->name_ == row.name_);
  CHECK(result.proxySetting_->value_ == row.value_);
}

TEST_CASE("only a leading comment marks a statement as repeatable",
          "[classification]")
{
  struct Row
  {
    std::string text_;
    bool repeatable_;
  };
  const auto row = GENERATE(values<Row>({
    { "/* wigeonlb: repeatable */ update t set a = 1", true },
    { " \n/*wigeonlb: repeatable*/select 1", true },
    { "update t set a = '/* wigeonlb: repeatable */'", false },
    { "update t set a = 1 /* wigeonlb: repeatable */", false },
    { "/* not wigeonlb: repeatable */ update t set a = 1", false },
    { "/* wigeonlb: repeatable", false },
    { "", false },
  }));
  CAPTURE(row.text_);
  CHECK(HasRepeatableHint(row.text_) == row.repeatable_);
}

} // namespace wigeonlb::core::classification
