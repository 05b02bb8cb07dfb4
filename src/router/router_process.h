#pragma once

#include <memory>

#include "keys/keys.h"
#include "program/program.h"
#include "router/metrics_page.h"
#include "router/peer_exchange.h"
#include "router/request_forwarder.h"
#include "router/router_settings.h"
#include "router/store_listeners.h"

namespace currantbeam {

/// The parts of the outside world that a router process is given.
struct RouterPeers {
  StoreClient& store;
  GrantClient& grants;
  const StoreSchema& schema;
  SettingsSource& settings;
  ForwardingHeaders headers;
};

/// The one process of an entry host: forwards callers' requests, follows the
/// store, and stands ready to keep the owners of keys. One thread.
class RouterProcess : private MetricsSource {
 public:
  RouterProcess(const RouterSettings& settings, RouterPeers peers);

  /// Runs until the process is told to stop and its work has ended.
  auto Run() -> void;
  /// Does what the signal to stop does; may be called from any thread.
  auto RequestStop() -> void;

 private:
  /// Answers whether this host should get new connections.
  class ReadinessHandler : public HttpHandler {
   public:
    explicit ReadinessHandler(const RouterProcess& process)
        : process(process) {}
    auto Handle(HttpExchange& exchange) -> void override;
    auto OnBadInput(const std::string& what) -> void override;

   private:
    const RouterProcess& process;
  };

  auto StartFollowing(const std::string& table, TableListener& listener,
                      std::chrono::milliseconds batching) -> void;
  auto TakeRoutes(RouteConfig config) -> void;
  /// Does what is due now and then: settings that changed, lapsed entries.
  auto Sweep() -> void;
  auto PollSettings() -> void;
  /// Takes this host's part of what all hosts may do together.
  auto NoteFleetSize() -> void;
  auto Drain() -> void;
  auto AppendMetrics(std::string& text) const -> void override;
  [[nodiscard]] auto IsReady() const -> bool;

  RouterSettings settings;
  RouterPeers peers;
  FiberLoop loop;
  BootClock clock;
  BackendDirectory directory;
  OwnerDirectory owners;
  LoadRecorder loads;
  FleetSize fleet;
  RelayedStore store;
  PeerExchange exchange;
  ForwardingState state;
  RequestForwarder forwarder;
  ReadinessHandler readiness_handler;
  HttpServer callers;
  HttpServer readiness;
  MetricsPage metrics_page;
  HttpServer metrics;
  KeyKeeper keeper;
  RoutesListener routes_listener;
  BackendsListener backends_listener;
  StopSignal stop_signal;
  ReloadSignal reload_signal;
  TimePoint routes_at{};  ///< When the routes came into force here.
  bool draining = false;
};

}  // namespace currantbeam
