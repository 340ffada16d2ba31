#pragma once

#include <map>
#include <string>
#include <utility>

#include "http/httpmessages.h"

namespace wigeonlb::http {

//! Finds a handler by method and path: 404 for another path, 405 for another
//! method. Routes are added before the server starts.
class HttpRouter
{
public:
  void Add(std::string aMethod, std::string aPath, RequestHandler aHandler);
  //! For every path that is longer than aPrefix and begins with it, unless the
  //! path itself was added.
  void AddPrefix(std::string aMethod,
                 std::string aPrefix,
                 RequestHandler aHandler);
  void Handle(const HttpRequest& aRequest, ResponseCallback aRespond) const;

private:
  using Methods = std::map<std::string, RequestHandler>;

  const Methods* Find(const std::string& aPath) const;

  std::map<std::string, Methods> routes_;   //!< by path
  std::map<std::string, Methods> prefixes_; //!< by prefix
};

} // namespace wigeonlb::http
