#include "core/classification/internal/functions.h"

#include <algorithm>
#include <array>

namespace wigeonlb::core::classification::internal {

namespace {

// Each table must be sorted, as it is searched with a binary search.
// clang-format off
constexpr auto kReadOnlyFunctions = std::to_array<std::string_view>({
  "abbrev", "abs", "acos", "age", "array_agg", "array_append", "array_cat",
  "array_dims", "array_fill", "array_length", "array_lower", "array_ndims",
  "array_position", "array_positions", "array_prepend", "array_remove",
  "array_replace", "array_to_json", "array_to_string", "array_upper", "ascii",
  "asin", "atan", "atan2", "avg", "bit_and", "bit_length", "bit_or",
  "bool_and", "bool_or", "broadcast", "btrim", "cardinality", "cbrt", "ceil",
  "ceiling", "char_length", "character_length", "chr", "cidr",
  "clock_timestamp", "coalesce", "col_description", "concat", "concat_ws",
  "corr", "cos", "count", "covar_pop", "covar_samp", "cume_dist",
  "current_catalog", "current_database", "current_schema", "current_schemas",
  "current_setting", "current_user", "date", "date_bin", "date_part",
  "date_trunc", "decode", "degrees", "dense_rank", "div", "encode", "every",
  "exp", "extract", "factorial", "family", "first_value", "float8", "floor",
  "format", "format_type", "gcd", "gen_random_uuid", "generate_series",
  "generate_subscripts", "greatest", "has_column_privilege",
  "has_database_privilege", "has_schema_privilege", "has_table_privilege",
  "host", "inet", "initcap", "int4", "int8", "isempty", "isfinite", "json_agg",
  "json_array_elements", "json_array_elements_text", "json_array_length",
  "json_build_array", "json_build_object", "json_each", "json_each_text",
  "json_extract_path", "json_extract_path_text", "json_object",
  "json_object_agg", "json_object_keys", "json_populate_record",
  "json_strip_nulls", "json_to_record", "json_to_recordset", "json_typeof",
  "jsonb_agg", "jsonb_array_elements", "jsonb_array_elements_text",
  "jsonb_array_length", "jsonb_build_array", "jsonb_build_object",
  "jsonb_each", "jsonb_each_text", "jsonb_extract_path",
  "jsonb_extract_path_text", "jsonb_insert", "jsonb_object",
  "jsonb_object_agg", "jsonb_object_keys", "jsonb_path_exists",
  "jsonb_path_query", "jsonb_path_query_array", "jsonb_path_query_first",
  "jsonb_pretty", "jsonb_set", "jsonb_strip_nulls", "jsonb_to_record",
  "jsonb_to_recordset", "jsonb_typeof", "justify_days", "justify_hours",
  "justify_interval", "lag", "last_value", "lcm", "lead", "least", "left",
  "length", "like_escape", "ln", "localtime", "localtimestamp", "log", "log10",
  "lower", "lower_inc", "lower_inf", "lpad", "ltrim", "make_date",
  "make_interval", "make_time", "make_timestamp", "make_timestamptz",
  "masklen", "max", "md5", "min", "mod", "mode", "netmask", "network", "now",
  "nth_value", "ntile", "nullif", "num_nonnulls", "num_nulls", "numeric",
  "obj_description", "octet_length", "overlaps", "overlay", "percent_rank",
  "percentile_cont", "percentile_disc", "pg_backend_pid", "pg_client_encoding",
  "pg_column_size", "pg_current_wal_flush_lsn", "pg_current_wal_insert_lsn",
  "pg_current_wal_lsn", "pg_database_size", "pg_encoding_to_char",
  "pg_get_constraintdef", "pg_get_expr", "pg_get_function_arguments",
  "pg_get_function_identity_arguments", "pg_get_function_result",
  "pg_get_functiondef", "pg_get_indexdef", "pg_get_ruledef",
  "pg_get_triggerdef", "pg_get_userbyid", "pg_get_viewdef", "pg_indexes_size",
  "pg_is_in_recovery", "pg_last_wal_receive_lsn", "pg_last_wal_replay_lsn",
  "pg_last_xact_replay_timestamp", "pg_postmaster_start_time",
  "pg_relation_size", "pg_size_pretty", "pg_sleep", "pg_table_is_visible",
  "pg_table_size", "pg_total_relation_size", "pg_type_is_visible", "pg_typeof",
  "pg_wal_lsn_diff", "phraseto_tsquery", "pi", "plainto_tsquery", "position",
  "power", "quote_ident", "quote_literal", "quote_nullable", "radians",
  "random", "range_merge", "rank", "regexp_count", "regexp_instr",
  "regexp_like", "regexp_match", "regexp_matches", "regexp_replace",
  "regexp_split_to_array", "regexp_split_to_table", "regexp_substr",
  "regr_avgx", "regr_avgy", "regr_count", "regr_intercept", "regr_r2",
  "regr_slope", "repeat", "replace", "reverse", "right", "round", "row_number",
  "row_to_json", "rpad", "rtrim", "scale", "session_user", "set_byte",
  "sha224", "sha256", "sha384", "sha512", "shobj_description", "sign", "sin",
  "split_part", "sqrt", "starts_with", "statement_timestamp", "stddev",
  "stddev_pop", "stddev_samp", "string_agg", "string_to_array",
  "string_to_table", "strpos", "substr", "substring", "sum", "tan", "text",
  "timeofday", "timezone", "to_char", "to_date", "to_hex", "to_json",
  "to_jsonb", "to_number", "to_regclass", "to_regtype", "to_timestamp",
  "to_tsquery", "to_tsvector", "transaction_timestamp", "translate", "trim",
  "trim_array", "trunc", "ts_headline", "ts_rank", "ts_rank_cd", "unnest",
  "upper", "upper_inc", "upper_inf", "var_pop", "var_samp", "variance",
  "version", "websearch_to_tsquery", "width_bucket",
});

constexpr auto kStateKeepingFunctions = std::to_array<std::string_view>({
  "dblink_connect", "dblink_connect_u", "dblink_disconnect",
  "pg_advisory_lock", "pg_advisory_lock_shared", "pg_advisory_unlock",
  "pg_advisory_unlock_all", "pg_advisory_unlock_shared", "pg_export_snapshot",
  "pg_listening_channels", "pg_replication_origin_session_setup",
  "pg_try_advisory_lock", "pg_try_advisory_lock_shared", "set_config",
  "setseed",
});

constexpr auto kStateReadingFunctions = std::to_array<std::string_view>({
  "currval", "lastval", "lo_close", "lo_lseek", "lo_open", "lo_tell", "loread",
  "lowrite", "pg_cursor",
});
// clang-format on

bool
Contains(const auto& aTable, std::string_view aName)
{
  return std::binary_search(aTable.begin(), aTable.end(), aName);
}

} // namespace

bool
IsReadOnlyFunction(std::string_view aName)
{
  return Contains(kReadOnlyFunctions, aName);
}

bool
KeepsSessionState(std::string_view aName)
{
  return Contains(kStateKeepingFunctions, aName);
}

bool
ReadsSessionState(std::string_view aName)
{
  return Contains(kStateReadingFunctions, aName);
}

} // namespace wigeonlb::core::classification::internal
