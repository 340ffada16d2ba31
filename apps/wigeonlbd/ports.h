#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "control/promotionport.h"
#include "core/classification/classificationcache.h"
#include "http/httprouter.h"
#include "settings/daemonsettings.h"
#include "traffic/groupconnection.h"

namespace wigeonlb::daemon {

//! How a change of the configuration from outside ended.
enum class AdoptionOutcome
{
  Accepted, //!< logged, or overtaken by a higher number
  Refused,  //!< never will be in force
  Unknown,  //!< may be in force later; the same may be sent again
};

struct AdoptionResult
{
  AdoptionOutcome outcome_ = AdoptionOutcome::Unknown;
  std::string message_;
};

//! The configuration in force, as it was given.
struct ConfigurationDocument
{
  std::uint64_t number_ = 0;
  std::string text_;
};

//! What the routes of a control interface may ask of the daemon. Called on the
//! control thread, where the answers come, too; nothing blocks.
struct ControlInterface
{
  //! Whether this host takes new callers.
  std::function<bool()> isServing_;
  std::function<void(wire::Announcement&&)> onAnnouncement_;
  //! A target ends now and won't come back. The incarnation is empty when it
  //! doesn't tell.
  std::function<void(const foundation::TargetName&,
                     std::optional<std::uint64_t>)>
    onTargetRemoved_;
  std::function<void(wire::NumberedConfiguration,
                     std::function<void(AdoptionResult)>)>
    adopt_;
  //! The newest configuration, or nothing when this host can't be sure.
  std::function<void(std::function<void(std::optional<ConfigurationDocument>)>)>
    readDocument_;
};

//! The outside protocols that a daemon speaks.
struct Ports
{
  traffic::OwnerProtocols protocols_;
  core::classification::Classifier classify_ = core::classification::Classify;
  //! Adds the routes of balancers, targets and outside operators.
  std::function<void(http::HttpRouter&, const ControlInterface&)>
    registerRoutes_;
  std::function<control::PromotionPort(const settings::DaemonSettings&,
                                       const target::Login&)>
    makePromotion_;
  //! Environment variable with the path of the settings file.
  std::string settingsFileVariable_ = "WIGEONLB_SETTINGS_FILE";
};

//! PostgreSQL on both sides, and the project's own routes.
Ports
StandardPorts();

} // namespace wigeonlb::daemon
