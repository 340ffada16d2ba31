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

//! The settings of a session: `session` (a token), `max_age` and `deadline`, by
//! `SET wigeonlb.<name>` or in the startup options, and `request_key`, by `SET`
//! only.
struct SessionSettings
{
  core::session::SessionFloors floors_;
  //! The session has neither set a token nor written anything yet.
  bool needsFreshFloor_ = true;
  std::optional<foundation::Duration> maxAge_;
  std::optional<foundation::Duration> deadline_;
  //! Attached to the next write or transaction; empty: none.
  std::string requestKey_;
};

//! State of the host and the session that the answer to a setting depends on.
struct SettingContext
{
  std::string_view host_;
  //! Whether the session's group accepts request keys.
  bool requestKeys_ = false;
  bool inTransaction_ = false;
};

//! Runs a SET, RESET or SHOW of a setting and appends the frames of its answer.
//! On failure returns false, with an error, and changes nothing.
bool
RunSetting(SessionSettings& aSettings,
           const core::classification::ProxySetting& aSetting,
           const SettingContext& aContext,
           std::string& aFrames,
           std::string& aError);

//! Moves the session's request key to a write or BEGIN outside a transaction.
//! The key is used up even if the request fails.
void
AttachRequestKey(SessionSettings& aSettings, wire::ForwardRequest& aRequest);

//! Sets one setting, named without the prefix. An empty duration resets it.
//! Returns false, with an error that names the setting, and changes nothing if
//! the name or the value is not valid.
bool
ApplySetting(SessionSettings& aSettings,
             std::string_view aName,
             std::string_view aValue,
             std::string& aError);

//! Applies the settings of a startup packet, named with the prefix `wigeonlb.`.
//! Stops at the first that is not valid and returns false, with an error.
bool
ApplyStartupSettings(SessionSettings& aSettings,
                     std::span<const caller::Parameter> aParameters,
                     std::string& aError);

//! Resets one setting to its value in a new session. Returns false, with an
//! error, if there is no such setting.
bool
ResetSetting(SessionSettings& aSettings,
             std::string_view aName,
             std::string& aError);

//! The value as `SHOW` returns it; empty if it is not set.
std::string
SettingText(const SessionSettings& aSettings, std::string_view aName);

//! Appends the answer to a SHOW: one row with the setting's value.
void
AppendSettingRow(std::string& aFrames,
                 std::string_view aName,
                 std::string_view aValue);

} // namespace wigeonlb::daemon::traffic
