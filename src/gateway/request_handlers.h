#pragma once

#include <optional>
#include <string>

#include "gateway/backend_dispatcher.h"
#include "gateway/gateway_state.h"
#include "http/http.h"

namespace currantbeam {

/// Handles client requests: looks up the backend server that owns the key,
/// sends the request to the gateway that drives that server (this one or
/// another), and relays the response.
class ClientRequestHandler : public HttpHandler {
 public:
  ClientRequestHandler(GatewayState& state, BackendDispatcher& dispatcher)
      : state(state), dispatcher(dispatcher) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& message) -> void override;

 private:
  struct RoutingState;
  /// @return the classified request, or nothing if this gateway may not serve
  /// or has no configuration yet.
  /// @throws InputError if the request cannot be classified.
  auto MakeJob(const HttpRequest& request) -> std::optional<RequestJob>;
  /// Routes the request, with retries and backoff until its deadline, and sends
  /// the response.
  auto RouteRequest(RequestJob& job, HttpExchange& exchange) -> void;
  /// Sends the request along the current route once.
  /// @return false if no server can be sent the request at present.
  /// @throws RerouteError, OverloadError or RequestError.
  auto TryRoute(RequestJob& job, HttpExchange& exchange, RoutingState& routing)
      -> bool;
  /// @return whether there is time to send the request again.
  auto HasTimeToRetry(const RequestJob& job, const RoutingState& routing) const
      -> bool;
  /// @return true if the request is idempotent and may have been run.
  auto IsRetryable(const RequestJob& job, const RequestError& error) -> bool;
  /// Responds to a request that was not sent or whose last attempt was not run;
  /// the response says if an earlier attempt may have run.
  auto SendRefusal(const RequestJob& job, const RoutingState& routing,
                   HttpExchange& exchange, const std::string& reason,
                   Duration retry_after) -> void;
  /// Adds the request to the metrics and logs its outcome.
  auto RecordOutcome(const RequestJob& job, const RoutingState& routing,
                     const std::string& result, const std::string& reason)
      -> void;

  GatewayState& state;
  BackendDispatcher& dispatcher;
};

/// Handles requests that other gateways forwarded to this one because it
/// drives the backend server.
class ForwardedRequestHandler : public HttpHandler {
 public:
  ForwardedRequestHandler(GatewayState& state, BackendDispatcher& dispatcher)
      : state(state), dispatcher(dispatcher) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& message) -> void override;

 private:
  GatewayState& state;
  BackendDispatcher& dispatcher;
};

/// Serves /livez and /readyz for the platform's load balancer and /metrics for
/// scrapers.
class StatusHandler : public HttpHandler {
 public:
  explicit StatusHandler(GatewayState& state) : state(state) {}

  auto Handle(HttpExchange& exchange) -> void override;
  auto OnBadInput(const std::string& message) -> void override;

 private:
  GatewayState& state;
};

}  // namespace currantbeam
