#pragma once

#include <optional>

#include "core/configuration/configurationview.h"
#include "foundation/clock.h"

//! What a host knows of the configuration, and what it may use.
namespace wigeonlb::core::configuration {

//! How long a host may refuse unknown names after it asked a leader for the
//! newest revision: some heartbeats, but less than the time within which a
//! change has to be in force everywhere.
constexpr foundation::Duration kConfirmationLifetimeMs =
  std::chrono::milliseconds(1000);

//! A leader's statement that a revision was the newest one when it answered a
//! heartbeat.
struct Confirmation
{
  foundation::Revision revision_ = 0;
  //! When this host sent the heartbeat, by its own clock. What was decided on
  //! later may be missing.
  foundation::Instant askedAt_;
  foundation::HostId leader_;
};

struct HostConfiguration
{
  //! The system has a configuration or will receive one shortly. A name that is
  //! not found may still exist until this host has received it.
  bool expected_ = false;
  //! No leader replied within a time limit of the start, nor since.
  bool noLeaderSinceStart_ = false;
  //! A leader has confirmed, since the start, that received_ lacks nothing.
  bool confirmed_ = false;
  //! The confirmation that was asked for last.
  std::optional<Confirmation> newest_;
  //! The newest configuration. Not in force until it is saved, so that the
  //! revision in force does not go back when the process is killed, nor while
  //! MayPutInForce is false.
  ConfigurationView received_;
  ConfigurationView inForce_;
};

//! Whether received_ may be in force. One that no leader has confirmed, as from
//! a member that has just started itself or from this host's disk, may lack
//! acknowledged changes: it is used only by a host that finds no leader.
bool
MayPutInForce(const HostConfiguration& aState);

//! Applies the configuration of a reply to received_. Returns whether it has
//! changed and may be put in force.
bool
ReceiveConfiguration(HostConfiguration& aState,
                     const wire::HeartbeatReply& aReply);

//! Notes what a reply confirms, to be called before its configuration is
//! applied. A reply is ignored if it tells no time of its heartbeat, or one in
//! the future.
void
NoteConfirmation(HostConfiguration& aState,
                 const wire::HeartbeatReply& aReply,
                 foundation::Instant aNow);

//! Marks received_ as confirmed if the reply confirms it, to be called after
//! the reply's configuration was applied. Returns whether this is the first
//! time since the start.
bool
ConfirmReceived(HostConfiguration& aState, const wire::HeartbeatReply& aReply);

//! The newest confirmation; null if there is none, or if the configuration in
//! force lacks the revision that it names.
const Confirmation*
FindConfirmation(const HostConfiguration& aState);

//! Whether a name that is not found may be refused as unknown: the system has
//! had no newer configuration since shortly before. Without a confirmation it
//! may not.
//! NOTE aNow must be a new clock reading: a host that stood still learns only
//! from that how old its confirmation is.
bool
MayRefuseNames(const Confirmation* aConfirmation, foundation::Instant aNow);

} // namespace wigeonlb::core::configuration
