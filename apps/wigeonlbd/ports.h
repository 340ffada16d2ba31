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

//! Outcome of a configuration document that was received from outside.
enum class AdoptionOutcome
{
  Accepted, //!< logged, or superseded by a higher number
  Refused,  //!< will never be in force
  Unknown,  //!< may be in force later; the same document may be sent again
};

struct AdoptionResult
{
  AdoptionOutcome outcome_ = AdoptionOutcome::Unknown;
  std::string message_;
  std::string documentId_; //!< see control::MakeDocumentId
};

//! The newest numbered configuration, as it was received.
struct ConfigurationDocument
{
  std::uint64_t number_ = 0;
  std::string text_;
};

//! Functions of the daemon for the routes of a control interface. They are
//! called on the control thread and don't block; their callbacks are called on
//! the control thread, too.
struct ControlInterface
{
  //! Whether this host accepts new callers.
  std::function<bool()> isServing_;
  //! The callback receives whether the announcement is acknowledged.
  std::function<void(wire::Announcement&&, std::function<void(bool)>)>
    onAnnouncement_;
  //! A target is shutting down and will not return. The incarnation is empty if
  //! the notice does not contain it.
  std::function<void(const foundation::TargetName&,
                     std::optional<std::uint64_t>)>
    onTargetRemoved_;
  std::function<void(wire::NumberedConfiguration,
                     std::function<void(AdoptionResult)>)>
    adopt_;
  //! Reads the newest configuration; nothing if there is none or no control
  //! leader with a lease answered.
  std::function<void(std::function<void(std::optional<ConfigurationDocument>)>)>
    readDocument_;
};

//! The external protocols of a daemon.
struct Ports
{
  traffic::OwnerProtocols protocols_;
  core::classification::Classifier classify_ = core::classification::Classify;
  //! Registers the routes for balancers, targets and external control systems.
  std::function<void(http::HttpRouter&, const ControlInterface&)>
    registerRoutes_;
  std::function<control::PromotionPort(const settings::DaemonSettings&,
                                       const target::Login&)>
    makePromotion_;
  //! Environment variable with the path of the settings file.
  std::string settingsFileVariable_ = "WIGEONLB_SETTINGS_FILE";
};

//! The PostgreSQL protocol for callers and targets, and this project's own HTTP
//! routes.
Ports
StandardPorts();

} // namespace wigeonlb::daemon
