#include "ports.h"

#include "announcements/announcementroutes.h"

namespace wigeonlb::daemon {

Ports
StandardPorts()
{
  Ports ports;
  ports.registerRoutes_ = [](http::HttpRouter& aRouter,
                             const ControlInterface& aInterface) {
    announcements::RegisterAnnouncementRoutes(
      aRouter, { aInterface.isServing_, aInterface.onAnnouncement_ });
  };
  ports.makePromotion_ = [](const settings::DaemonSettings&,
                            const target::Login& aLogin) {
    return control::PromoteByStatement(target::PostgresqlProtocol(), aLogin);
  };
  return ports;
}

} // namespace wigeonlb::daemon
