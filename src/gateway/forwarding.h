#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "gateway/gateway_state.h"
#include "gateway/request_job.h"
#include "http/http.h"
#include "routing/routing.h"

namespace currantbeam {

/// Forwards a request to the gateway that drives its server, and relays the
/// response.
/// @return true if the response came from a backend server, false if the other
/// gateway rejected the request.
/// @throws RerouteError or RequestError.
auto ForwardToGateway(const RequestJob& job, const RouteTarget& target,
                      HttpExchange& exchange, GatewayState& state) -> bool;

/// Parses a request that another gateway forwarded.
/// @throws InputError if a header that gateways add is missing or malformed.
/// @throws RerouteError if its request class is not in the configuration.
auto ParseForwardedRequest(const HttpRequest& request,
                           const Configuration& configuration, TimePoint now)
    -> RequestJob;

}  // namespace currantbeam
