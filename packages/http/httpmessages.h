#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace wigeonlb::http {

//! A complete request.
struct HttpRequest
{
  std::string method_; //!< upper case, as in `GET`
  std::string path_;   //!< decoded, without the query
  std::map<std::string, std::string> query_;
  std::map<std::string, std::string> headers_; //!< names in lower case
  std::string body_;
};

//! A response.
struct HttpResponse
{
  int status_ = 200;
  std::string contentType_ = "text/plain; charset=utf-8";
  std::string body_;
  std::map<std::string, std::string> headers_;
};

//! Sends the response to one request. May be called from any thread; only the
//! first call has an effect. If all copies are destroyed without a call, the
//! client receives status 500.
using ResponseCallback = std::function<void(HttpResponse)>;

//! Handles one request on the server's executor; must not block.
using RequestHandler =
  std::function<void(const HttpRequest&, ResponseCallback)>;

//! Returns the query parameter aName; if there is none, the header of that name
//! with `-` for `_`; if there is none either, an empty string.
std::string
FindParameter(const HttpRequest& aRequest, std::string_view aName);

} // namespace wigeonlb::http
