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
  auto MakeJob(const HttpRequest& request) -> std::optional<RequestJob>;
  auto RouteRequest(RequestJob& job, HttpExchange& exchange) -> void;
  auto TryRoute(RequestJob& job, HttpExchange& exchange, RoutingState& routing)
      -> bool;
  auto IsRetryable(const RequestJob& job, const RequestError& error) -> bool;
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
