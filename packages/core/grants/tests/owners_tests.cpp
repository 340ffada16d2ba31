#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <set>

#include "core/grants/owners.h"

namespace wigeonlb::core::grants {

namespace {

std::vector<wire::HostInfo>
MakeHosts(int aCount)
{
  std::vector<wire::HostInfo> hosts;
  for (int i = 0; i < aCount; ++i) {
    wire::HostInfo host;
    host.set_host("h" + std::to_string(i));
    host.set_data_centre(i % 2 == 0 ? "even" : "odd");
    hosts.push_back(host);
  }
  return hosts;
}

wire::GroupState
MakeGroup(const std::string& aName, const std::string& aDataCentre)
{
  wire::GroupState group;
  group.set_group(aName);
  group.add_targets()->set_data_centre(aDataCentre);
  return group;
}

} // namespace

TEST_CASE("owners are live hosts in the targets' data centres", "[owners]")
{
  auto hosts = MakeHosts(10);
  const auto group = MakeGroup("g", "even");
  const auto owners = ChooseOwners(group, hosts, 3);
  REQUIRE(owners.size() == 3);
  for (const auto& owner : owners) {
    CHECK((owner.back() - '0') % 2 == 0);
  }
  CHECK(ChooseOwners(MakeGroup("g", "nowhere"), hosts, 3).size() == 3);
  for (auto& host : hosts) {
    host.set_draining(host.host() == owners.front());
  }
  const auto others = ChooseOwners(group, hosts, 3);
  CHECK(others[0] == owners[1]);
  CHECK(others[1] == owners[2]);
}

TEST_CASE("owners are the same when hosts join one by one", "[owners]")
{
  const auto dataCentres =
    GENERATE(std::vector<std::string>{ "a" },
             std::vector<std::string>{ "a", "b", "c" },
             std::vector<std::string>{ "a", "b", "c", "d", "e" });
  const auto count = GENERATE(1U, 2U, 3U, 5U);
  for (int i = 0; i < 40; ++i) {
    auto group = MakeGroup("group-" + std::to_string(i), "a");
    group.add_targets()->set_data_centre(i % 3 == 0 ? "c" : "nowhere");
    auto hosts = MakeHosts(30);
    for (std::size_t j = 0; j < hosts.size(); ++j) {
      // In some rounds the first hosts are in a data centre without targets.
      const auto index = j < 4 && i % 2 == 0 ? dataCentres.size() - 1 : j;
      hosts[j].set_data_centre(dataCentres[index % dataCentres.size()]);
      hosts[j].set_draining(j % 7 == 3);
    }
    std::vector<wire::HostInfo> owners;
    for (std::size_t j = 0; j < hosts.size(); ++j) {
      const auto all =
        ChooseOwners(group, std::span(hosts).subspan(0, j + 1), count);
      if (MayBecomeOwner(group, owners, hosts[j], count)) {
        owners.push_back(hosts[j]);
        const auto chosen = ChooseOwners(group, owners, count);
        std::vector<wire::HostInfo> kept;
        kept.reserve(chosen.size());
        for (const auto& name : chosen) {
          kept.push_back(*std::ranges::find_if(
            owners, [&](const auto& aHost) { return aHost.host() == name; }));
        }
        owners = kept;
      }
      std::vector<foundation::HostId> names;
      names.reserve(owners.size());
      for (const auto& owner : owners) {
        names.push_back(owner.host());
      }
      CHECK(names == all);
    }
  }
}

TEST_CASE("the other owners remain when a host leaves", "[owners]")
{
  const auto all = MakeHosts(20);
  auto fewer = all;
  fewer.erase(fewer.begin() + 4);
  for (int i = 0; i < 100; ++i) {
    const auto group = MakeGroup("g" + std::to_string(i), "even");
    const auto before = ChooseOwners(group, all, 3);
    const auto after = ChooseOwners(group, fewer, 3);
    const std::set<std::string> now(after.begin(), after.end());
    for (const auto& owner : before) {
      CHECK((owner == "h4" || now.contains(owner)));
    }
  }
}

TEST_CASE("each data centre with a target has an owner", "[owners]")
{
  auto group = MakeGroup("g", "even");
  group.add_targets()->set_data_centre("odd");
  const auto count = GENERATE(range<std::size_t>(1, 6));
  for (int i = 0; i < 50; ++i) {
    group.set_group("g" + std::to_string(i));
    const auto owners = ChooseOwners(group, MakeHosts(10), count);
    REQUIRE(owners.size() == count);
    std::set<int> inside;
    for (const auto& owner : owners) {
      inside.insert((owner.back() - '0') % 2);
    }
    CHECK(inside.size() == std::min<std::size_t>(count, 2));
    CHECK(std::set(owners.begin(), owners.end()).size() == count);
  }
}

TEST_CASE("entry hosts in data centres without an owner load no single owner",
          "[owners]")
{
  // Each owner has a third of the targets' slots.
  const std::vector<std::string> dataCentres{ "a", "b", "c", "d", "e" };
  const bool isOneLost = GENERATE(false, true);
  auto hosts = MakeHosts(300);
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    hosts[i].set_data_centre(dataCentres[i % dataCentres.size()]);
  }
  for (int i = 0; i < 20; ++i) {
    auto group = MakeGroup("g" + std::to_string(i), "a");
    group.add_targets()->set_data_centre("b");
    group.add_targets()->set_data_centre("c");
    const auto chosen = ChooseOwners(group, hosts, 3);
    std::map<foundation::HostId, std::size_t> requests;
    for (const auto& entry : hosts) {
      auto owners = chosen;
      SortOwnersForEntry(group.group(), entry, hosts, owners);
      CHECK(std::ranges::is_permutation(owners, chosen));
      const bool isLost = isOneLost && owners[0] == chosen[0];
      ++requests[owners[isLost ? 1 : 0]];
    }
    const auto even = hosts.size() / (isOneLost ? 2 : 3);
    for (const auto& [owner, count] : requests) {
      CAPTURE(group.group(), owner, count, even);
      CHECK(count * 4 <= even * 5);
    }
  }
}

TEST_CASE("an entry host prefers itself, then owners of its data centre",
          "[owners]")
{
  const auto hosts = MakeHosts(10);
  const auto index = GENERATE(range(0, 10));
  const auto& entry = hosts[static_cast<std::size_t>(index)];
  std::vector<foundation::HostId> owners{ "h0", "h1", "h2", "h3", "h4" };
  SortOwnersForEntry("g", entry, hosts, owners);
  if (index < 5) {
    CHECK(owners.front() == entry.host());
  }
  const std::size_t near = index % 2 == 0 ? 3 : 2;
  for (std::size_t i = 0; i < near; ++i) {
    CHECK((owners[i].back() - '0') % 2 == index % 2);
  }
}

TEST_CASE("shares, probes and control connections fit the limit", "[owners]")
{
  const auto limit = GENERATE(0U, 2U, 3U, 5U, 20U, 30U, 101U);
  const auto owners = GENERATE(0U, 1U, 3U, 9U, 40U);
  const auto shares = ComputeShares(limit, owners);
  REQUIRE(shares.size() == owners);
  const auto sum = std::accumulate(shares.begin(), shares.end(), 0U);
  if (sum > 0) {
    CHECK(sum + owners * kProbeConnections + kControlConnections +
            ComputeConnectionReserve(limit, owners) ==
          limit);
    CHECK(shares.front() - shares.back() <= 1);
  }
}

} // namespace wigeonlb::core::grants
