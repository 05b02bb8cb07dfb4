#pragma once

#include <memory>

#include "keys/keys.h"
#include "program/program.h"
#include "router/metrics_page.h"
#include "router/peer_exchange.h"
#include "router/peer_reads.h"
#include "router/quarantine_store.h"
#include "router/request_forwarder.h"
#include "router/router_settings.h"
#include "router/store_listeners.h"

namespace currantbeam {

/// The interfaces to other systems that a RouterProcess is constructed with.
struct RouterDependencies {
  StoreClient& store;
  GrantClient& grants;
  const StoreSchema& schema;
  SettingsSource& settings;
  ForwardingHeaders headers;
};

/// The process of an entry host. Forwards callers' requests, follows the tables
/// of the store, and takes part in the election of the KeyCoordinator, which
/// assigns keys to servers. Runs on one thread.
class RouterProcess : private MetricsSource {
 public:
  RouterProcess(const RouterSettings& settings,
                RouterDependencies dependencies);

  /// Runs until a stop is requested and the requests in flight have ended, or
  /// the stop grace is over.
  auto Run() -> void;
  /// Does the same as the stop signal; may be called from any thread.
  auto RequestStop() -> void;

 private:
  /// Responds to readiness checks: 200 if the host should receive new
  /// connections, else 503.
  class ReadinessHandler : public HttpHandler {
   public:
    explicit ReadinessHandler(const RouterProcess& process)
        : process(process) {}
    auto Handle(HttpExchange& exchange) -> void override;
    auto OnBadInput(const std::string& what) -> void override;

   private:
    const RouterProcess& process;
  };

  /// Follows a table of the store in a fiber of its own.
  auto StartFollower(const std::string& table, TableListener& listener,
                     std::chrono::milliseconds batching) -> void;
  /// Puts a new version of the routes and limits into force.
  auto ApplyRoutes(RouteConfig config) -> void;
  /// Periodically polls the settings, removes lapsed backend servers and
  /// updates the number of hosts.
  auto RunPeriodicTasks() -> void;
  /// Records how late the loop ran a task.
  auto RecordLoopDelay(Duration delay) -> void;
  auto PollSettings() -> void;
  /// Reads the quarantined requests from the store after the start, and stores
  /// them while this host has the active KeyCoordinator.
  auto RunQuarantineStore() -> void;
  /// @return the path at which the service's servers say whether they serve;
  ///   empty if it is unknown.
  [[nodiscard]] auto HealthPath(const ServiceName& service) const
      -> std::string;
  /// @return the latest epoch of the store in which a shared table was read.
  [[nodiscard]] auto LatestStoreEpoch() const -> StoreEpoch;
  /// Sets this host's share of the limits that all hosts have together.
  auto ApplyFleetSize() -> void;
  /// Ends the process in order, by a StopSchedule: stops accepting, completes
  /// the requests in flight, responds to those that remain, and stops the loop.
  auto Drain() -> void;
  auto DrainRequests() -> void;
  /// Waits until no request is in flight.
  /// @return the number of requests still in flight at that time.
  auto DrainUntil(TimePoint time) -> std::size_t;
  auto AppendMetrics(std::string& text) const -> void override;
  [[nodiscard]] auto IsReady() const -> bool;

  RouterSettings settings;
  RouterDependencies dependencies;
  FiberLoop loop;
  BootClock clock;
  BackendDirectory directory;
  OwnerDirectory owners;
  LoadRecorder loads;
  FleetSize fleet;
  CircuitBreakerStore own_store;
  CallJoiningStore joined_store;
  KnownHosts hosts;
  HttpPeerLink peer_link;
  PeerReader peer_reader;
  PeerBackedStore backed_store;
  CopyFetcher copy_fetcher;
  RelayedStore store;
  TableReadServer table_reads;
  ForwardingState state;
  PeerExchange peer_exchange;
  QuarantineStore quarantine_store;
  HttpServerHealthClient health_client;
  ServingCheck serving_check;
  RequestForwarder forwarder;
  ReadinessHandler readiness_handler;
  HttpServer caller_server;
  HttpServer readiness_server;
  MetricsPage metrics_page;
  HttpServer metrics_server;
  KeyCoordinator coordinator;
  RoutesListener routes_listener;
  BackendsListener backends_listener;
  StopSignal stop_signal;
  ReloadSignal reload_signal;
  LatencyHistogram loop_delays;   ///< How late the loop ran periodic tasks.
  TimePoint routes_applied_at{};  ///< When the routes were applied here.
  bool draining = false;
};

}  // namespace currantbeam
