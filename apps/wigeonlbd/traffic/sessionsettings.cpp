#include "traffic/sessionsettings.h"

#include <utility>

#include "core/configuration/groupoptions.h"
#include "core/session/sessiontoken.h"
#include "traffic/keyedrequest.h"

namespace wigeonlb::daemon::traffic {

namespace {

using foundation::Duration;

constexpr std::string_view kPrefix = "wigeonlb.";

bool
ApplyToken(SessionSettings& aSettings,
           std::string_view aToken,
           std::string& aError)
{
  core::session::SessionFloors floors;
  const std::error_code error = core::session::DecodeToken(aToken, floors);
  if (error) {
    aError = "wigeonlb.session: " + error.message();
    return false;
  }
  core::session::RaiseFloors(aSettings.floors_, floors);
  aSettings.needsFreshFloor_ = false;
  return true;
}

bool
ApplyRequestKey(SessionSettings& aSettings,
                std::string_view aKey,
                const SettingContext& aContext,
                std::string& aError)
{
  if (!aContext.requestKeys_) {
    aError =
      "the group does not accept request keys: its option request_keys is off";
  } else if (aContext.inTransaction_) {
    aError = "a request key must be set before the transaction begins";
  } else if (!IsRequestKey(aKey)) {
    aError = "wigeonlb.request_key: expected 1 to 128 letters, digits or "
             "._:/+=@-";
  } else {
    aSettings.requestKey_ = aKey;
    return true;
  }
  return false;
}

} // namespace

bool
RunSetting(SessionSettings& aSettings,
           const core::classification::ProxySetting& aSetting,
           const SettingContext& aContext,
           std::string& aFrames,
           std::string& aError)
{
  using Verb = core::classification::ProxySetting::Verb;
  if (aSetting.verb_ == Verb::Show) {
    AppendSettingRow(aFrames,
                     "wigeonlb." + aSetting.name_,
                     aSetting.name_ == "host"
                       ? std::string(aContext.host_)
                       : SettingText(aSettings, aSetting.name_));
    return true;
  }
  const bool set = aSetting.verb_ == Verb::Set;
  bool applied = false;
  if (!set) {
    applied = ResetSetting(aSettings, aSetting.name_, aError);
  } else if (aSetting.name_ == "request_key") {
    applied = ApplyRequestKey(aSettings, aSetting.value_, aContext, aError);
  } else {
    applied = ApplySetting(aSettings, aSetting.name_, aSetting.value_, aError);
  }
  if (applied) {
    caller::AppendCommandComplete(aFrames, set ? "SET" : "RESET");
  }
  return applied;
}

void
AttachRequestKey(SessionSettings& aSettings, wire::ForwardRequest& aRequest)
{
  const auto statement = aRequest.statement_class();
  if (statement == wire::STATEMENT_WRITE ||
      statement == wire::STATEMENT_BEGIN) {
    aRequest.set_request_key(std::exchange(aSettings.requestKey_, {}));
  }
}

bool
ApplySetting(SessionSettings& aSettings,
             std::string_view aName,
             std::string_view aValue,
             std::string& aError)
{
  if (aName == "session") {
    return ApplyToken(aSettings, aValue, aError);
  }
  if (aName != "max_age" && aName != "deadline") {
    aError = "there is no setting wigeonlb." + std::string(aName) +
             "; the settings are session, max_age and deadline, and with SET "
             "also request_key";
    return false;
  }
  std::optional<Duration>& setting =
    aName == "max_age" ? aSettings.maxAge_ : aSettings.deadline_;
  if (aValue.empty()) {
    setting.reset();
    return true;
  }
  Duration value{ 0 };
  if (!core::configuration::ParseDuration(aValue, value)) {
    aError = "wigeonlb." + std::string(aName) +
             ": expected a duration such as '5s' or '200ms', not '" +
             std::string(aValue) + "'";
    return false;
  }
  setting = value;
  return true;
}

bool
ApplyStartupSettings(SessionSettings& aSettings,
                     std::span<const caller::Parameter> aParameters,
                     std::string& aError)
{
  for (const caller::Parameter& setting : aParameters) {
    const std::string_view name = setting.name_;
    if (name.substr(0, kPrefix.size()) != kPrefix) {
      aError = "sessions share connections to targets, so '" + setting.name_ +
               "' can't be set for one";
      return false;
    }
    if (!ApplySetting(
          aSettings, name.substr(kPrefix.size()), setting.value_, aError)) {
      return false;
    }
  }
  return true;
}

bool
ResetSetting(SessionSettings& aSettings,
             std::string_view aName,
             std::string& aError)
{
  if (aName == "request_key") {
    aSettings.requestKey_.clear();
    return true;
  }
  if (aName != "session") {
    return ApplySetting(aSettings, aName, "", aError);
  }
  aSettings.floors_ = {};
  aSettings.needsFreshFloor_ = true;
  return true;
}

std::string
SettingText(const SessionSettings& aSettings, std::string_view aName)
{
  if (aName == "session") {
    std::string token;
    return core::session::EncodeToken(aSettings.floors_, token) ? "" : token;
  }
  if (aName == "request_key") {
    return aSettings.requestKey_;
  }
  const auto& setting =
    aName == "max_age" ? aSettings.maxAge_ : aSettings.deadline_;
  return setting ? std::to_string(setting->count()) + "us" : "";
}

void
AppendSettingRow(std::string& aFrames,
                 std::string_view aName,
                 std::string_view aValue)
{
  const caller::ColumnDescription column{ aName };
  const std::optional<std::string_view> field(aValue);
  caller::AppendRowDescription(aFrames, { &column, 1 });
  caller::AppendDataRow(aFrames, { &field, 1 });
  caller::AppendCommandComplete(aFrames, "SHOW");
}

} // namespace wigeonlb::daemon::traffic
