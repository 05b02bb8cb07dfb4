#include "router/request_fingerprint.h"

#include <xxhash.h>

#include <initializer_list>
#include <string>

#include "router/end_to_end_headers.h"

namespace currantbeam {

auto FingerprintOf(const HttpRequest& request, const ForwardingHeaders& headers)
    -> RequestFingerprint {
  std::string content;
  for (const auto part :
       {request.method_string(), request[http::field::host], request.target(),
        request[headers.key], request[http::field::authorization],
        request[http::field::cookie]}) {
    content.append(ToView(part));
    content.push_back('\0');
  }
  content.append(request.body());
  return XXH3_64bits(content.data(), content.size());
}

}  // namespace currantbeam
