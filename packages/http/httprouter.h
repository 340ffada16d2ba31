#pragma once

#include <map>
#include <string>
#include <utility>

#include "http/httpmessages.h"

namespace wigeonlb::http {

//! Dispatches requests by method and path. Responds with 404 to an unknown path
//! and with 405 to an unknown method of a known path. Routes must be added
//! before the server starts.
class HttpRouter
{
public:
  void Add(std::string aMethod, std::string aPath, RequestHandler aHandler);
  //! Adds a route for all paths that start with aPrefix and are longer. A route
  //! that was added for the path itself takes precedence.
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
