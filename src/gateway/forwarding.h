#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "gateway/gateway_state.h"
#include "gateway/request_job.h"
#include "http/http.h"
#include "routing/routing.h"

namespace currantbeam {

/// Sends a request on to the gateway that drives its server, and relays the
/// answer.
/// @return true if the request was answered by a backend server.
/// @throws RerouteError or RequestError.
auto ForwardToGateway(const RequestJob& job, const RouteTarget& target,
                      HttpExchange& exchange, GatewayState& state) -> bool;

/// Reads a request that another gateway sent on.
/// @throws InputError if it lacks what gateways add.
/// @throws RerouteError if its class is not known here.
auto ReadForwarded(const HttpRequest& request,
                   const Configuration& configuration, TimePoint now)
    -> RequestJob;

}  // namespace currantbeam
