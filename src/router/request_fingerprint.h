#pragma once

#include "http/http.h"
#include "policy/policy.h"
#include "router/forwarding_headers.h"

namespace currantbeam {

/// @return the fingerprint of a request: a hash of its method, host, target,
///   key and body, and of the headers by which its caller identifies itself.
///   The caller's address and the other headers may differ between repetitions
///   of a request.
auto FingerprintOf(const HttpRequest& request, const ForwardingHeaders& headers)
    -> RequestFingerprint;

}  // namespace currantbeam
