#pragma once

#include <chrono>

#include "gateway/backend_dispatcher.h"
#include "gateway/gateway_state.h"
#include "http/http.h"
#include "runtime/runtime.h"

namespace currantbeam {

/// Ends the request path of a gateway in order, by a StopSchedule: stops
/// accepting clients, hands the backend servers over to other gateways,
/// completes the requests in flight on both ports, and responds to those that
/// remain.
class GatewayShutdown {
 public:
  /// @param workers  the loops that both servers listen on.
  GatewayShutdown(GatewayState& state, BackendDispatcher& dispatcher,
                  HttpServer& client_server, HttpServer& forwarding_server,
                  WorkerPool& workers)
      : state(state),
        dispatcher(dispatcher),
        client_server(client_server),
        forwarding_server(forwarding_server),
        workers(workers) {}

  /// Blocks the fiber until the workers may be stopped. Responses that are
  /// still being sent then are cut, and logged.
  auto Run() -> void;

 private:
  auto HasServers() -> bool;
  /// Waits until other gateways drive the backend servers.
  auto AwaitHandover(TimePoint until) -> void;
  /// Waits until no request of the server is in flight.
  auto DrainUntil(HttpServer& server, TimePoint time) -> void;
  [[nodiscard]] auto InFlight() const -> std::size_t;
  /// Cancels the calls of the requests that have no response yet; they then
  /// respond with an error.
  auto CancelCalls() -> void;

  static constexpr auto kHandoverPollInterval = std::chrono::milliseconds(20);
  static constexpr auto kMaxHandoverTime = std::chrono::seconds(2);

  GatewayState& state;
  BackendDispatcher& dispatcher;
  HttpServer& client_server;
  HttpServer& forwarding_server;
  WorkerPool& workers;
};

}  // namespace currantbeam
