#pragma once

#include <cstdint>
#include <string>

namespace wigeonlb::foundation {

//! Name of a host, unique in the system, from the host's settings.
using HostId = std::string;

//! Name of a data centre.
using DataCentre = std::string;

//! Name of a database group.
using GroupName = std::string;

//! Name of a target, unique within its group.
using TargetName = std::string;

//! The caller's organisation. Without organisations its user name, or the
//! digest of that if the protocol says that it may be secret. Histograms and
//! fair queues are kept per tenant.
using Tenant = std::string;

//! Number of a configuration revision; increases with every accepted change.
using Revision = std::uint64_t;

} // namespace wigeonlb::foundation
