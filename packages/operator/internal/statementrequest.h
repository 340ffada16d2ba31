#pragma once

#include "operator/operatorservice.h"

namespace wigeonlb::operators {

//! Runs the statements of one HTTP request and sends the response. Called on
//! the HTTP server's executor.
void
HandleStatements(const OperatorCallbacks& aCallbacks,
                 const foundation::MetricsRegistry& aMetrics,
                 const http::HttpRequest& aRequest,
                 const http::ResponseCallback& aRespond);

} // namespace wigeonlb::operators
