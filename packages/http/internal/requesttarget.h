#pragma once

#include <string>
#include <string_view>

#include "http/httpmessages.h"

namespace wigeonlb::http {

//! Splits a request target into path and query and decodes both. Returns false
//! when a percent escape is malformed.
bool
ParseTarget(std::string_view aTarget, HttpRequest& aRequest);

} // namespace wigeonlb::http
