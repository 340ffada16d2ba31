// Part of ControlRuntime: links to other hosts, control members, isolation.
#include "control/controlruntime.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "core/consensus/memberplan.h"
#include "foundation/logging.h"
#include "settings/filelimit.h"

namespace wigeonlb::daemon::control {

namespace {

//! Senders of heartbeats that are kept until the next list of hosts.
constexpr std::size_t kMaxUnlistedHosts = 1024;

//! A member without an address is left out.
std::map<foundation::HostId, std::string>
ListMemberAddresses(const wire::MemberChange& aMembers)
{
  std::map<foundation::HostId, std::string> addresses;
  for (const auto& names : { aMembers.voters(), aMembers.learners() }) {
    for (const foundation::HostId& host : names) {
      const auto address = aMembers.addresses().find(host);
      if (address != aMembers.addresses().end()) {
        addresses.emplace(host, address->second);
      }
    }
  }
  return addresses;
}

} // namespace

std::size_t
ControlRuntime::GetWantedVoterCount() const
{
  return core::consensus::ComputeVoterCount(settings_.toleratedLosses_);
}

void
ControlRuntime::SetPeers()
{
  std::map<foundation::HostId, peer::PeerEndpoint> peers;
  for (const auto& [host, address] : unlistedHosts_) {
    peers[host] = { host, address };
  }
  for (const wire::HostInfo& host : hosts_) {
    peers[host.host()] = { host.host(), host.peer_address() };
  }
  for (const auto& [host, address] : memberAddresses_) {
    peers[host] = { host, address, IsMember() };
  }
  std::vector<peer::PeerEndpoint> endpoints;
  endpoints.reserve(peers.size());
  for (const auto& [host, endpoint] : peers) {
    endpoints.push_back(endpoint);
  }
  links_->SetPeers(endpoints);
  CheckFileLimit(endpoints.size());
  for (const wire::HostInfo& host : hosts_) {
    if (IsLost(host.host())) {
      // Retries the link, which may be up again.
      (void)links_->CheckReachability(host.host());
    }
  }
}

void
ControlRuntime::SetMemberAddresses()
{
  memberAddresses_ = seedAddresses_;
  for (const auto* const source :
       { &toldAddresses_, &storedAddresses_, &formerSeedAddresses_ }) {
    memberAddresses_.insert(source->begin(), source->end());
  }
  SetPeers();
}

void
ControlRuntime::ApplyMembers(const wire::MemberChange& aMembers)
{
  toldAddresses_ = { aMembers.addresses().begin(), aMembers.addresses().end() };
  formerSeedAddresses_.clear();
  submitter_->SetMembers(
    { aMembers.voters().begin(), aMembers.voters().end() });
  SetMemberAddresses();
}

void
ControlRuntime::UseStoredMembers()
{
  if (member_ == nullptr) {
    return;
  }
  auto addresses = ListMemberAddresses(
    core::consensus::CurrentMembers(member_->Consensus().log_));
  if (addresses == storedAddresses_) {
    return;
  }
  storedAddresses_ = std::move(addresses);
  SetMemberAddresses();
  std::vector<foundation::HostId> names;
  for (const auto& [host, address] : storedAddresses_) {
    names.push_back(host);
  }
  agent_->OnStoredMembers(std::move(names));
}

void
ControlRuntime::EnsurePeer(const wire::HostInfo& aHost)
{
  const auto sameHost = [&](const wire::HostInfo& aKnown) {
    return aKnown.host() == aHost.host() &&
           aKnown.peer_address() == aHost.peer_address();
  };
  const auto newcomer = unlistedHosts_.find(aHost.host());
  const bool known = aHost.host() == settings_.hostId_ ||
                     std::ranges::any_of(hosts_, sameHost) ||
                     memberAddresses_.contains(aHost.host()) ||
                     (newcomer != unlistedHosts_.end() &&
                      newcomer->second == aHost.peer_address());
  if (!known && unlistedHosts_.size() < kMaxUnlistedHosts) {
    unlistedHosts_[aHost.host()] = aHost.peer_address();
    SetPeers();
    agent_->OnSender(aHost.host());
  }
}

void
ControlRuntime::PostSeeds(std::vector<settings::ControlMember> aSeeds)
{
  boost::asio::post(context_, [this, seeds = std::move(aSeeds)] {
    if (seeds.empty()) {
      return;
    }
    std::vector<foundation::HostId> names;
    // Until a list of members has come, the former seeds may be all that this
    // host knows.
    formerSeedAddresses_.merge(seedAddresses_);
    seedAddresses_.clear();
    for (const settings::ControlMember& seed : seeds) {
      seedAddresses_[seed.host_] = seed.peerAddress_;
      names.push_back(seed.host_);
    }
    SetMemberAddresses();
    agent_->OnSeeds(std::move(names));
  });
}

void
ControlRuntime::CheckFileLimit(std::size_t aHosts)
{
  const std::uint64_t limit = settings::GetFileLimit();
  const std::uint64_t needed = settings::ComputeFilesNeeded(aHosts);
  if (std::exchange(fileLimitTooLow_, limit < needed) || !fileLimitTooLow_) {
    return;
  }
  foundation::LogWarning("control",
                         "file-limit-too-low",
                         { { "hosts", std::to_string(aHosts) },
                           { "limit", std::to_string(limit) },
                           { "needed", std::to_string(needed) } });
}

void
ControlRuntime::ReportMembers()
{
  if (member_ == nullptr) {
    return;
  }
  const auto members =
    core::consensus::DescribeMembers(member_->Consensus(), lastTick_);
  const auto isReachable = [this](const foundation::HostId& aHost) {
    return std::ranges::any_of(
      links_->Counters(), [&](const peer::PeerCounters& aPeer) {
        return aPeer.host_ == aHost && aPeer.reachable_;
      });
  };
  for (const ReportLine& line : CollectReport(
         memberReport_, members, settings_.hostId_, isReachable, lastTick_)) {
    foundation::LogChange("control", line.event_, line.fields_);
  }
}

void
ControlRuntime::CheckIsolation()
{
  //! NOTE Without a balancer, disconnected callers are not routed to another
  //! host, so this host keeps serving reads within their maximum staleness.
  if (!settings::AcceptsCallers(settings_) ||
      !settings::HasBalancer(settings_)) {
    return;
  }
  std::vector<foundation::HostId> others;
  for (const wire::HostInfo& host : hosts_) {
    if (!host.control_only() && host.host() != settings_.hostId_) {
      others.push_back(host.host());
    }
  }
  const auto testedHosts = core::membership::CheckLeaderContact(
    isolation_, agent_->GetLastLeaderContact(), others, lastTick_);
  for (const foundation::HostId& host : testedHosts) {
    // An error is ignored: the host is not marked as lost then.
    (void)links_->CheckReachability(host);
  }
  const bool changed = core::membership::EvaluateIsolation(
    isolation_,
    [this](const foundation::HostId& aHost) { return IsLost(aHost); },
    lastTick_);
  if (changed) {
    foundation::LogChange(
      "control",
      isolation_.isolated_ ? "cut-off" : "cut-off-ended",
      { { "tried", std::to_string(isolation_.testedHosts_.size()) } });
  }
  const bool outOfRotation = IsOutOfRotation(isolation_.isolatedSince_);
  if (core::membership::ShouldDisconnectCallers(
        isolation_, outOfRotation, lastTick_)) {
    foundation::LogChange(
      "control",
      "callers-sent-away",
      { { "sessions", std::to_string(traffic_.SessionCount()) } });
    traffic_.DisconnectCallersWhenIdle();
  }
}

bool
ControlRuntime::MayAcceptCallers() const
{
  const bool leaderKnown =
    agent_->HasReachedLeader() ||
    (agent_->HasNoLeaderSinceStart() && !settings::HasBalancer(settings_));
  return core::membership::MayAcceptCallers(isolation_, leaderKnown);
}

void
ControlRuntime::NoteProbe(bool aServing)
{
  const std::lock_guard lock(balancerMutex_);
  core::membership::NoteProbe(balancer_, aServing, foundation::SteadyNow());
}

bool
ControlRuntime::IsOutOfRotation(foundation::Instant aSince) const
{
  const std::lock_guard lock(balancerMutex_);
  return core::membership::IsOutOfRotation(
    balancer_,
    { settings_.balancerRefusals_, settings_.balancerNotice_ },
    aSince,
    foundation::SteadyNow());
}

} // namespace wigeonlb::daemon::control
