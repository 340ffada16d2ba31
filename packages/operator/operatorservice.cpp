#include "operator/operatorservice.h"

#include "operator/internal/statementrequest.h"

namespace wigeonlb::operators {

namespace {

constexpr const char* kPrometheusContentType = "text/plain; version=0.0.4";

} // namespace

void
RegisterOperatorRoutes(http::HttpRouter& aRouter,
                       OperatorCallbacks aCallbacks,
                       foundation::MetricsRegistry& aMetrics)
{
  aRouter.Add(
    "GET",
    "/metrics",
    [&aMetrics](const http::HttpRequest&, const auto& aRespond) {
      aRespond({ .contentType_ = kPrometheusContentType,
                 .body_ = foundation::ToPrometheusText(aMetrics.Snapshot()) });
    });
  aRouter.Add("POST",
              "/statement",
              [aCallbacks, &aMetrics](const http::HttpRequest& aRequest,
                                      const http::ResponseCallback& aRespond) {
                HandleStatements(aCallbacks, aMetrics, aRequest, aRespond);
              });
}

} // namespace wigeonlb::operators
