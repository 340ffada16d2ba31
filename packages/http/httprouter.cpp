#include "http/httprouter.h"

namespace wigeonlb::http {

void
HttpRouter::Add(std::string aMethod, std::string aPath, RequestHandler aHandler)
{
  routes_[std::move(aPath)][std::move(aMethod)] = std::move(aHandler);
}

void
HttpRouter::AddPrefix(std::string aMethod,
                      std::string aPrefix,
                      RequestHandler aHandler)
{
  prefixes_[std::move(aPrefix)][std::move(aMethod)] = std::move(aHandler);
}

const HttpRouter::Methods*
HttpRouter::Find(const std::string& aPath) const
{
  const auto exact = routes_.find(aPath);
  if (exact != routes_.end()) {
    return &exact->second;
  }
  for (const auto& [prefix, methods] : prefixes_) {
    if (aPath.size() > prefix.size() && aPath.starts_with(prefix)) {
      return &methods;
    }
  }
  return nullptr;
}

void
HttpRouter::Handle(const HttpRequest& aRequest, ResponseCallback aRespond) const
{
  const Methods* const methods = Find(aRequest.path_);
  if (methods == nullptr) {
    aRespond({ .status_ = 404, .body_ = "no such path\n" });
    return;
  }
  const auto method = methods->find(aRequest.method_);
  if (method == methods->end()) {
    aRespond({ .status_ = 405, .body_ = "method not allowed\n" });
    return;
  }
  method->second(aRequest, std::move(aRespond));
}

} // namespace wigeonlb::http
