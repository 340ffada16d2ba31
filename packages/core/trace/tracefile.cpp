#include "core/trace/tracefile.h"

#include <google/protobuf/util/json_util.h>

#include "core/trace/traceerrors.h"

namespace wigeonlb::core::trace {

namespace {

namespace json = google::protobuf::util;

bool
Parse(const std::string& aLine,
      bool aIgnoreUnknown,
      wire::TraceRecord& aRecord,
      std::string& aDetail)
{
  json::JsonParseOptions options;
  options.ignore_unknown_fields = aIgnoreUnknown;
  const auto status = json::JsonStringToMessage(aLine, &aRecord, options);
  aDetail = std::string(status.message());
  return status.ok();
}

//! Parses the line with number aNumber, counted from 1, as the next record.
std::error_code
ParseRecord(const std::string& aLine,
            std::uint64_t aNumber,
            wire::TraceRecord& aRecord,
            std::string& aDetail)
{
  // The header of a newer format version may contain unknown fields, which must
  // not hide the version error.
  if (!Parse(aLine, aNumber == 1, aRecord, aDetail)) {
    return TraceError::Corrupt;
  }
  if (aNumber == 1 && !aRecord.has_header()) {
    return TraceError::MissingHeader;
  }
  if (aRecord.has_header() && aRecord.header().version() != kTraceVersion) {
    aDetail = "version " + std::to_string(aRecord.header().version()) +
              ", only version " + std::to_string(kTraceVersion) +
              " is supported";
    return TraceError::WrongVersion;
  }
  if (aNumber == 1) {
    aRecord.Clear();
    if (!Parse(aLine, false, aRecord, aDetail)) {
      return TraceError::Corrupt;
    }
  }
  if (aRecord.number() != aNumber) {
    aDetail = "record number " + std::to_string(aRecord.number()) +
              " at line " + std::to_string(aNumber);
    return TraceError::OutOfOrder;
  }
  if (aRecord.body_case() == wire::TraceRecord::BODY_NOT_SET) {
    aDetail = "the record contains no event";
    return TraceError::Corrupt;
  }
  return {};
}

std::error_code
AddError(std::error_code aError,
         std::uint64_t aNumber,
         const std::string& aDetail,
         std::string_view aName,
         foundation::Findings& aFindings)
{
  foundation::AddFinding(aFindings,
                         std::string(aName) + ":" + std::to_string(aNumber),
                         aError.message() +
                           (aDetail.empty() ? "" : ": " + aDetail));
  return aError;
}

} // namespace

std::string
ToJsonLine(const wire::TraceRecord& aRecord)
{
  json::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  std::string line;
  if (!json::MessageToJsonString(aRecord, &line, options).ok()) {
    return {};
  }
  line += '\n';
  return line;
}

std::error_code
ReadTraces(std::istream& aInput,
           std::string_view aName,
           std::vector<Trace>& aTraces,
           foundation::Findings& aFindings)
{
  std::uint64_t number = 0;
  std::string line;
  while (std::getline(aInput, line)) {
    ++number;
    if (aInput.eof()) {
      return AddError(TraceError::Truncated, number, {}, aName, aFindings);
    }
    std::string detail;
    wire::TraceRecord record;
    if (const auto error = ParseRecord(line, number, record, detail)) {
      return AddError(error, number, detail, aName, aFindings);
    }
    if (record.has_header()) {
      aTraces.push_back({ std::string(aName), {} });
    }
    aTraces.back().records_.push_back(std::move(record));
  }
  if (number == 0) {
    return AddError(TraceError::MissingHeader, 1, {}, aName, aFindings);
  }
  return {};
}

const wire::TraceHeader&
GetHeader(const Trace& aTrace)
{
  return aTrace.records_.front().header();
}

} // namespace wigeonlb::core::trace
