#include "settings/addresses.h"

#include <algorithm>
#include <set>
#include <string>

#include <boost/asio/ip/address.hpp>

#include "foundation/parsenumber.h"

namespace wigeonlb::daemon::settings {

using foundation::AddFinding;
using foundation::Findings;

namespace {

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxControlMembers = 7;

} // namespace

bool
IsValidName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
           return std::isalnum(aCharacter) != 0 || aCharacter == '-' ||
                  aCharacter == '_' || aCharacter == '.';
         });
}

bool
ReadListenAddress(std::string_view aText, ListenAddress& aAddress)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::uint16_t port = 0;
  boost::system::error_code error;
  const std::string ip(aText.substr(0, colon));
  boost::asio::ip::make_address(ip, error);
  if (error || !foundation::ParseNumber(aText.substr(colon + 1), port)) {
    return false;
  }
  aAddress = ListenAddress{ ip, port };
  return true;
}

void
ReadSeeds(std::string_view aText,
          std::string_view aLocation,
          DaemonSettings& aSettings,
          Findings& aFindings)
{
  while (!aText.empty()) {
    const std::size_t comma = std::min(aText.find(','), aText.size());
    const std::string_view item = aText.substr(0, comma);
    aText.remove_prefix(std::min(comma + 1, aText.size()));
    ListenAddress address;
    if (!ReadListenAddress(item, address)) {
      AddFinding(aFindings,
                 std::string(aLocation),
                 "expected ip:port, not '" + std::string(item) + "'");
      continue;
    }
    aSettings.controlSeeds_.push_back(address);
  }
}

void
AddSeedsAsControlMembers(DaemonSettings& aSettings)
{
  for (const ListenAddress& seed : aSettings.controlSeeds_) {
    const std::string address =
      seed.ip_ + ":" + std::to_string(aSettings.peerAddress_.port_);
    aSettings.controlMembers_.push_back({ seed.ip_, address });
  }
}

void
ReadMembers(std::string_view aText,
            std::string_view aLocation,
            DaemonSettings& aSettings,
            Findings& aFindings)
{
  if (aText.empty() && !aSettings.controlSeeds_.empty()) {
    return;
  }
  std::set<std::string, std::less<>> seen;
  const std::string location(aLocation);
  const std::size_t findingsBefore = aFindings.size();
  while (!aText.empty()) {
    const std::size_t comma = std::min(aText.find(','), aText.size());
    const std::string_view item = aText.substr(0, comma);
    aText.remove_prefix(std::min(comma + 1, aText.size()));
    const std::size_t equals = item.find('=');
    ListenAddress address;
    if (equals == std::string_view::npos ||
        !IsValidName(item.substr(0, equals)) ||
        !ReadListenAddress(item.substr(equals + 1), address)) {
      AddFinding(aFindings,
                 location,
                 "expected host=ip:port, not '" + std::string(item) + "'");
      continue;
    }
    const std::string host(item.substr(0, equals));
    if (!seen.insert(host).second) {
      AddFinding(aFindings, location, "host '" + host + "' is named twice");
      continue;
    }
    aSettings.controlMembers_.push_back(
      ControlMember{ host, std::string(item.substr(equals + 1)) });
  }
  if (aFindings.size() > findingsBefore) {
    return; // with an invalid entry the member count is not meaningful
  }
  const std::size_t count = aSettings.controlMembers_.size();
  if (count % 2 == 0 || count > kMaxControlMembers) {
    AddFinding(aFindings,
               location,
               "expected 1, 3, 5 or 7 members, not " + std::to_string(count));
  }
}

} // namespace wigeonlb::daemon::settings
