#include "router/request_fingerprint.h"

#include <xxhash.h>

#include <initializer_list>
#include <memory>

#include "router/end_to_end_headers.h"

namespace currantbeam {

auto FingerprintOf(const HttpRequest& request, const ForwardingHeaders& headers)
    -> RequestFingerprint {
  // The body isn't copied, as it may be large.
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_64bits_reset(state.get());
  for (const auto part :
       {request.method_string(), request[http::field::host], request.target(),
        request[headers.key], request[http::field::authorization],
        request[http::field::cookie]}) {
    const auto text = ToView(part);
    XXH3_64bits_update(state.get(), text.data(), text.size());
    XXH3_64bits_update(state.get(), "", 1);
  }
  XXH3_64bits_update(state.get(), request.body().data(), request.body().size());
  return XXH3_64bits_digest(state.get());
}

}  // namespace currantbeam
