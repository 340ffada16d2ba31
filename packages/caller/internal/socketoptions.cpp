#include "caller/internal/socketoptions.h"

#include <algorithm>
#include <chrono>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace wigeonlb::caller::internal {

namespace {

int
ToWholeSeconds(foundation::Duration aDuration)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aDuration).count();
  return static_cast<int>(std::max<std::int64_t>(1, seconds));
}

void
SetIntOption(int aSocket, int aLevel, int aName, int aValue)
{
  ::setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue);
}

} // namespace

void
SetSocketOptions(CallerSession::Socket& aSocket,
                 const CallerSessionOptions& aOptions)
{
  const int socket = aSocket.native_handle();
  const auto set = [socket](int aName, int aValue) {
    SetIntOption(socket, IPPROTO_TCP, aName, aValue);
  };
  SetIntOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  set(TCP_NODELAY, 1);
  set(TCP_KEEPIDLE, ToWholeSeconds(aOptions.keepaliveIdle_));
  set(TCP_KEEPINTVL, ToWholeSeconds(aOptions.keepaliveInterval_));
  set(TCP_KEEPCNT, aOptions.keepaliveProbes_);
  set(TCP_USER_TIMEOUT,
      static_cast<int>(foundation::ToMilliseconds(aOptions.sendTimeout_)));
}

} // namespace wigeonlb::caller::internal
