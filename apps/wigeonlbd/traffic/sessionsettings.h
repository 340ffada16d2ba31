#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "caller/frames.h"
#include "core/classification/classification.h"
#include "core/session/sessionfloors.h"
#include "forward.pb.h"
#include "foundation/clock.h"

namespace wigeonlb::daemon::traffic {

//! What a caller can set for its session, by `SET wigeonlb.<name>` or in the
//! startup options: `session` (a token), `max_age` and `deadline`; by `SET`
//! only `request_key`.
struct SessionSettings
{
  core::session::SessionFloors floors_;
  //! No token was given and nothing was written yet.
  bool needsFreshFloor_ = true;
  std::optional<foundation::Duration> maxAge_;
  std::optional<foundation::Duration> deadline_;
  //! Goes with the next write or transaction; empty: none.
  std::string requestKey_;
};

//! What the host knows of a session when it answers a setting.
struct SettingContext
{
  std::string_view host_;
  //! The session's group takes request keys.
  bool requestKeys_ = false;
  bool inTransaction_ = false;
};

//! Runs a SET, RESET or SHOW of a setting and appends the frames of its answer.
//! Returns false, with an error, when nothing was changed.
bool
RunSetting(SessionSettings& aSettings,
           const core::classification::ProxySetting& aSetting,
           const SettingContext& aContext,
           std::string& aFrames,
           std::string& aError);

//! Outside a transaction: the session's key goes with a write or BEGIN,
//! whatever becomes of it.
void
GiveRequestKey(SessionSettings& aSettings, wire::ForwardRequest& aRequest);

//! Sets one setting, its name without the prefix. An empty duration resets it.
//! Returns false, with an error that names the setting, and changes nothing
//! when the name or the value is not valid.
bool
ApplySetting(SessionSettings& aSettings,
             std::string_view aName,
             std::string_view aValue,
             std::string& aError);

//! Takes the settings of a startup packet, names with the prefix `wigeonlb.`.
//! Returns false, with an error, at the first that is not valid.
bool
ApplyStartupSettings(SessionSettings& aSettings,
                     std::span<const caller::Parameter> aParameters,
                     std::string& aError);

//! Puts one setting back to what it is in a new session.
bool
ResetSetting(SessionSettings& aSettings,
             std::string_view aName,
             std::string& aError);

//! The value as `SHOW` gives it; empty when it is not set.
std::string
SettingText(const SessionSettings& aSettings, std::string_view aName);

//! Appends the answer to a SHOW: one row with the setting's value.
void
AppendSettingRow(std::string& aFrames,
                 std::string_view aName,
                 std::string_view aValue);

} // namespace wigeonlb::daemon::traffic
