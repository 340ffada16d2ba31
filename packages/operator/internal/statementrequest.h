#pragma once

#include "operator/operatorservice.h"

namespace wigeonlb::operators {

//! Runs the statements of one request and answers it. Used on the HTTP
//! server's executor.
void
HandleStatements(const OperatorCallbacks& aCallbacks,
                 const foundation::MetricsRegistry& aMetrics,
                 const http::HttpRequest& aRequest,
                 const http::ResponseCallback& aRespond);

} // namespace wigeonlb::operators
