#include "testing/relay/processresolver.h"

#include <array>
#include <charconv>
#include <filesystem>
#include <string_view>

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wigeonlb::testing::relay {

namespace {

using boost::asio::ip::tcp;

struct SocketDiagQuery
{
  nlmsghdr header_;
  inet_diag_req_v2 request_;
};

SocketDiagQuery
MakeSocketDiagQuery(const tcp::endpoint& aFrom, const tcp::endpoint& aTo)
{
  SocketDiagQuery query{};
  query.header_.nlmsg_len = sizeof(query);
  query.header_.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  query.header_.nlmsg_flags = NLM_F_REQUEST;
  query.request_.sdiag_family = AF_INET;
  query.request_.sdiag_protocol = IPPROTO_TCP;
  query.request_.idiag_states = ~0U;
  inet_diag_sockid& id = query.request_.id;
  id.idiag_sport = htons(aFrom.port());
  id.idiag_dport = htons(aTo.port());
  id.idiag_src[0] = htonl(aFrom.address().to_v4().to_uint());
  id.idiag_dst[0] = htonl(aTo.address().to_v4().to_uint());
  id.idiag_cookie[0] = id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  return query;
}

// The inode in the text `socket:[INODE]`, or 0 for any other text.
std::uint64_t
ParseSocketInode(std::string_view aLink)
{
  constexpr std::string_view kPrefix = "socket:[";
  std::uint64_t inode = 0;
  if (aLink.starts_with(kPrefix)) {
    aLink.remove_prefix(kPrefix.size());
    std::from_chars(aLink.data(), aLink.data() + aLink.size(), inode);
  }
  return inode;
}

} // namespace

ProcessResolver::ProcessResolver()
  : netlink_(socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
{
}

ProcessResolver::~ProcessResolver()
{
  close(netlink_);
}

void
ProcessResolver::Add(const ProcessName& aName, int aPid)
{
  pids_[aName] = aPid;
}

std::optional<ProcessName>
ProcessResolver::Find(const tcp::socket& aAccepted)
{
  boost::system::error_code error;
  const tcp::endpoint from = aAccepted.remote_endpoint(error);
  if (error) {
    return std::nullopt;
  }
  const std::uint64_t inode = FindInode(from, aAccepted.local_endpoint(error));
  if (inode == 0) {
    return std::nullopt;
  }
  if (!nameByInode_.contains(inode)) {
    ScanSockets();
  }
  const auto found = nameByInode_.find(inode);
  return found == nameByInode_.end() ? std::nullopt
                                     : std::optional(found->second);
}

std::uint64_t
ProcessResolver::FindInode(const tcp::endpoint& aFrom,
                           const tcp::endpoint& aTo) const
{
  const SocketDiagQuery query = MakeSocketDiagQuery(aFrom, aTo);
  if (send(netlink_, &query, sizeof(query), 0) < 0) {
    return 0;
  }
  constexpr std::size_t kAnswerBytes = 4096;
  alignas(nlmsghdr) std::array<char, kAnswerBytes> answer{};
  const ssize_t size = recv(netlink_, answer.data(), answer.size(), 0);
  const auto* header = reinterpret_cast<const nlmsghdr*>(answer.data());
  if (size < static_cast<ssize_t>(NLMSG_LENGTH(sizeof(inet_diag_msg))) ||
      header->nlmsg_type != SOCK_DIAG_BY_FAMILY) {
    return 0;
  }
  return reinterpret_cast<const inet_diag_msg*>(NLMSG_DATA(header))
    ->idiag_inode;
}

void
ProcessResolver::ScanSockets()
{
  namespace fs = std::filesystem;
  nameByInode_.clear();
  for (const auto& [name, pid] : pids_) {
    std::error_code error;
    fs::directory_iterator each("/proc/" + std::to_string(pid) + "/fd", error);
    for (; !error && each != fs::directory_iterator(); each.increment(error)) {
      std::error_code linkError;
      const fs::path link = fs::read_symlink(each->path(), linkError);
      if (const std::uint64_t inode = ParseSocketInode(link.native());
          inode != 0) {
        nameByInode_[inode] = name;
      }
    }
  }
}

} // namespace wigeonlb::testing::relay
