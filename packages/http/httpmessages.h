#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace wigeonlb::http {

//! One request, read whole.
struct HttpRequest
{
  std::string method_; //!< upper case, as in `GET`
  std::string path_;   //!< decoded, without the query
  std::map<std::string, std::string> query_;
  std::map<std::string, std::string> headers_; //!< names in lower case
  std::string body_;
};

//! One answer.
struct HttpResponse
{
  int status_ = 200;
  std::string contentType_ = "text/plain; charset=utf-8";
  std::string body_;
  std::map<std::string, std::string> headers_;
};

//! Answers one request. May be called once, from any thread; further calls are
//! ignored. If it's destroyed without a call, the caller gets status 500.
using ResponseCallback = std::function<void(HttpResponse)>;

//! Handles one request on the server's executor; must not block.
using RequestHandler =
  std::function<void(const HttpRequest&, ResponseCallback)>;

//! A query parameter, or else the header of that name with `-` for `_`, or
//! else an empty string.
std::string
FindParameter(const HttpRequest& aRequest, std::string_view aName);

} // namespace wigeonlb::http
