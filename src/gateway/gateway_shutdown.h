#pragma once

#include <chrono>

#include "gateway/backend_dispatcher.h"
#include "gateway/gateway_state.h"
#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Ends the request path of a gateway in order: stops accepting clients, hands
/// the backend servers over to other gateways, and waits for the requests in
/// flight on both ports.
class GatewayShutdown {
 public:
  GatewayShutdown(GatewayState& state, HttpServer& client_server,
                  HttpServer& forwarding_server)
      : state(state),
        client_server(client_server),
        forwarding_server(forwarding_server) {}

  /// Blocks the fiber until the workers may be stopped. Requests that are still
  /// in flight then are cut, and logged.
  auto Run() -> void;

 private:
  auto HasServers() -> bool;

  static constexpr auto kHandoverPollInterval = std::chrono::milliseconds(20);
  static constexpr int kMaxHandoverPolls = 100;

  GatewayState& state;
  HttpServer& client_server;
  HttpServer& forwarding_server;
};

}  // namespace currantbeam
