#include "router/router_process.h"

#include <unistd.h>

#include <algorithm>
#include <random>

#include "core/events.h"

namespace currantbeam {
namespace {

/// Until the next step of a follower, after one that failed unforeseen.
constexpr auto kFailedStepPause = std::chrono::milliseconds(500);
/// The resources that the KeyCoordinator of a large fleet uses. Hosts with less
/// delay their bid for its lease by up to kMaxLeaseYield, so that hosts with
/// more acquire it first.
constexpr double kCoordinatorCpuCores = 0.5;
constexpr double kCoordinatorLinkMbps = 100;
constexpr auto kMaxLeaseYield = std::chrono::milliseconds(800);
/// How long a host that starts waits for the coordinator's snapshots before it
/// reads the store: long enough for an election on the first start of the
/// fleet, and otherwise only for a reply to its first report.
constexpr Duration kFirstStartTimeout = std::chrono::seconds(3);
constexpr Duration kRestartTimeout = std::chrono::milliseconds(300);
constexpr auto kPeriodicTaskInterval = std::chrono::milliseconds(200);
constexpr int kTaskRunsPerSettingsPoll = 5;
constexpr Duration kMinLoggedLoopDelay = std::chrono::milliseconds(100);
constexpr auto kQuarantineStoreInterval = std::chrono::seconds(1);
constexpr auto kBackendBatchInterval = std::chrono::milliseconds(250);
/// The share of the process's memory that bodies of requests may use.
constexpr double kBodyMemoryShare = 0.5;
constexpr double kBytesPerMebibyte = 1024 * 1024;

auto OptionsFor(const Endpoint& endpoint) -> HttpServer::Options {
  HttpServer::Options options;
  options.address = endpoint.address;
  options.port = endpoint.port;
  return options;
}

/// The options of the server for callers, whose requests are kept in memory.
auto CallerServerOptions(const RouterSettings& settings)
    -> HttpServer::Options {
  auto options = OptionsFor(settings.callers);
  options.max_buffered_bytes = static_cast<std::uint64_t>(
      kBodyMemoryShare * settings.memory_mb * kBytesPerMebibyte);
  return options;
}

auto Scale(std::chrono::milliseconds duration, double fraction)
    -> std::chrono::milliseconds {
  return std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(duration.count()) * fraction));
}

/// @return the share that the host has of the resources that the KeyCoordinator
/// of a large fleet uses, from 0 to 1.
auto CoordinatorCapacity(const RouterSettings& settings) -> double {
  return std::min({settings.cpu_cores / kCoordinatorCpuCores,
                   settings.link_mbps / kCoordinatorLinkMbps, 1.0});
}

auto StartTimeout(const RouterSettings& settings) -> Duration {
  return settings.is_first_start ? kFirstStartTimeout : kRestartTimeout;
}

auto CoordinatorOptions(const RouterSettings& settings)
    -> KeyCoordinator::Options {
  KeyCoordinator::Options options;
  options.lease.holder =
      settings.host.Value() + "/" + std::to_string(::getpid()) + "/" +
      std::to_string(BootClock().Now().time_since_epoch().count());
  options.lease.endpoint =
      settings.peers.address + ":" + std::to_string(settings.peers.port);
  options.lease.yield_delay =
      Scale(kMaxLeaseYield, 1 - CoordinatorCapacity(settings));
  options.lease.is_first_start = settings.is_first_start;
  options.grant_timing = settings.grant_timing;
  return options;
}

}  // namespace

RouterProcess::RouterProcess(const RouterSettings& settings,
                             RouterDependencies dependencies)
    : settings(settings),
      dependencies(std::move(dependencies)),
      directory(this->clock),
      owners(this->clock),
      own_store(this->dependencies.store, this->clock),
      joined_store(this->own_store, this->clock),
      hosts(this->clock, FormatEndpoint(settings.peers),
            std::random_device{}()),
      peer_reader(this->peer_link, this->hosts, this->clock),
      backed_store(this->joined_store, this->peer_reader, this->clock),
      copy_fetcher(this->peer_link, this->clock, FormatEndpoint(settings.peers),
                   std::random_device{}()),
      store(this->backed_store, this->clock,
            {this->dependencies.schema.RoutesTable(),
             this->dependencies.schema.BackendsTable()},
            StartTimeout(settings), &this->copy_fetcher),
      table_reads(this->store, this->joined_store, settings.link_mbps,
                  std::random_device{}()),
      state(this->clock, this->dependencies.headers, this->directory,
            this->owners, this->loads, settings.domain),
      peer_exchange(settings, this->clock, this->loads, this->owners,
                    this->fleet, this->state.quarantine, this->store,
                    this->table_reads, this->hosts, StartTimeout(settings)),
      quarantine_store(this->backed_store, this->clock, this->state.quarantine,
                       [this] { return this->LatestStoreEpoch(); }),
      health_client(this->dependencies.headers,
                    [this](const ServiceName& service) {
                      return this->HealthPath(service);
                    }),
      serving_check(
          this->clock, this->directory, this->health_client,
          [this] {
            return this->store.Status(
                this->dependencies.schema.BackendsTable());
          },
          settings.drain_bound),
      forwarder(this->state),
      readiness_handler(*this),
      caller_server(CallerServerOptions(settings), this->forwarder),
      readiness_server(OptionsFor(settings.readiness), this->readiness_handler),
      metrics_page(*this),
      metrics_server(OptionsFor(settings.metrics), this->metrics_page),
      coordinator(this->backed_store, this->dependencies.grants, this->clock,
                  this->directory, CoordinatorOptions(settings),
                  [this](const OwnerUpdate& update) {
                    this->peer_exchange.Publish(update);
                  }),
      routes_listener(
          this->dependencies.schema,
          [this](RouteConfig config) { this->ApplyRoutes(std::move(config)); }),
      backends_listener(
          this->dependencies.schema, this->directory,
          [this] { return this->own_store.UnreachableAt(); },
          [this] { return this->store.StoreUpSince(); }),
      stop_signal(this->loop, [this] { this->Drain(); }),
      reload_signal(this->loop, [this] { this->PollSettings(); }) {}

auto RouterProcess::Run() -> void {
  this->state.trials = &this->peer_exchange;
  this->state.serving = &this->serving_check;
  this->state.servers_status = [this] {
    return this->store.Status(this->dependencies.schema.BackendsTable());
  };
  this->ApplyFleetSize();
  this->caller_server.Listen(this->loop);
  this->readiness_server.Listen(this->loop);
  this->metrics_server.Listen(this->loop);
  this->peer_exchange.Start(this->loop, this->coordinator);
  this->loop.Spawn([this] {
    this->StartFollower(this->dependencies.schema.RoutesTable(),
                        this->routes_listener, std::chrono::milliseconds(0));
    this->StartFollower(this->dependencies.schema.BackendsTable(),
                        this->backends_listener, kBackendBatchInterval);
    this->coordinator.Start();
    this->RunPeriodicTasks();
  });
  this->loop.Spawn([this] { this->RunQuarantineStore(); });
  Log(events::kProcessStarted, {{"version", kVersion},
                                {"domain", this->settings.domain.Value()},
                                {"cpu_cores", this->settings.cpu_cores},
                                {"link_mbps", this->settings.link_mbps}});
  this->loop.Run();
  Log(events::kProcessStopped);
  FlushLog();
}

auto RouterProcess::StartFollower(const std::string& table,
                                  TableListener& listener,
                                  std::chrono::milliseconds batching) -> void {
  FollowOptions options;
  options.table = table;
  options.batch_delay = batching;
  this->loop.Spawn([this, options, &listener] {
    TableFollower follower(this->store, options, listener);
    while (true) {
      Duration pause = kFailedStepPause;
      TryStep("follow-" + options.table, [&] { pause = follower.Step(); });
      SleepFor(pause);
    }
  });
}

auto RouterProcess::ApplyRoutes(RouteConfig config) -> void {
  HttpLimits limits;
  limits.header_bytes = config.limits.max_header_bytes;
  limits.body_bytes = config.limits.max_body_bytes;
  limits.header_timeout = config.limits.header_timeout;
  limits.idle_timeout = config.limits.idle_timeout;
  this->caller_server.SetLimits(limits);
  std::set<ServiceName> services;
  std::set<ServiceName> keyed;
  for (const auto& [name, spec] : config.services) {
    services.insert(name);
    if (spec.is_keyed) keyed.insert(name);
  }
  this->directory.SetServices(std::move(services));
  this->coordinator.SetServices(keyed);
  // Requests may arrive from now on, and the first limits depend on the number
  // of hosts.
  this->ApplyFleetSize();
  this->state.routes = std::make_shared<const RouteTable>(std::move(config));
  this->routes_applied_at = this->clock.Now();
}

auto RouterProcess::RunPeriodicTasks() -> void {
  for (int run = 0;; ++run) {
    const auto due_at = this->clock.Now() + kPeriodicTaskInterval;
    SleepFor(kPeriodicTaskInterval);
    this->RecordLoopDelay(this->clock.Now() - due_at);
    TryStep("periodic-tasks", [&, this] {
      this->backends_listener.ApplyTimeouts();
      this->state.quarantine.Expire(this->clock.Now());
      FlushLog();
      this->ApplyFleetSize();
      if (run % kTaskRunsPerSettingsPoll == 0) this->PollSettings();
    });
  }
}

auto RouterProcess::RecordLoopDelay(Duration delay) -> void {
  this->loop_delays.Record(delay);
  if (delay < kMinLoggedLoopDelay) return;
  Log(events::kLoopLate, {{"late_ms", Milliseconds(delay)}});
}

auto RouterProcess::ApplyFleetSize() -> void {
  const int hosts = this->fleet.Hosts(this->clock.Now());
  this->directory.SetGateways(hosts);
  this->state.SetRetryLimits(this->settings.retry_limits.PerHost(hosts));
}

auto RouterProcess::RunQuarantineStore() -> void {
  while (true) {
    TryStep("quarantine-store", [this] {
      this->quarantine_store.LoadIfNeeded();
      if (this->coordinator.IsActive()) this->quarantine_store.StoreIfChanged();
    });
    SleepFor(kQuarantineStoreInterval);
  }
}

auto RouterProcess::HealthPath(const ServiceName& service) const
    -> std::string {
  if (this->state.routes == nullptr) return "";
  const auto& services = this->state.routes->Config().services;
  const auto spec = services.find(service);
  return spec == services.end() ? "" : spec->second.health_path;
}

auto RouterProcess::LatestStoreEpoch() const -> StoreEpoch {
  StoreEpoch latest = 0;
  for (const auto& [table, version] : this->store.Versions()) {
    latest = std::max(latest, version.epoch);
  }
  return latest;
}

auto RouterProcess::PollSettings() -> void {
  try {
    const auto changed = this->dependencies.settings.Poll();
    if (!changed) return;
    this->settings.stop_grace = changed->stop_grace;
    this->settings.retry_limits = changed->retry_limits;
    this->settings.drain_bound = changed->drain_bound;
    this->serving_check.SetBound(changed->drain_bound);
    this->ApplyFleetSize();
    Log(events::kSettingsReloaded,
        {{"stop_grace_ms", changed->stop_grace.count()}});
  } catch (const InputError& error) {
    Log(events::kSettingsReloaded, {{"error", error.what()}});
  }
}

auto RouterProcess::IsReady() const -> bool {
  return !this->draining && this->state.routes != nullptr &&
         this->backends_listener.IsCurrent();
}

auto RouterProcess::RequestStop() -> void {
  this->loop.Spawn([this] { this->Drain(); });
}

auto RouterProcess::Drain() -> void {
  if (this->draining) return;
  this->draining = true;
  TryStep("drain", [this] { this->DrainRequests(); });
  this->loop.Stop();
}

auto RouterProcess::DrainRequests() -> void {
  const auto grace = this->settings.stop_grace;
  Log(events::kProcessDraining, {{"limit_ms", grace.count()}});
  this->state.stop = StopSchedule(this->clock.Now(), grace);
  const auto& stop = this->state.stop;
  this->caller_server.CloseAfterResponses();
  // In a fiber of its own, as the store may respond slowly.
  this->loop.Spawn([this] { this->coordinator.Stop(); });
  SleepFor(stop.accept_until - this->clock.Now());
  this->caller_server.StopAccepting();
  this->caller_server.CloseIdleConnections();
  if (this->DrainUntil(stop.respond_at) != 0) {
    this->caller_server.RejectUnreadRequests();
    this->state.active_requests.CancelAttempts();
  }
  const auto in_flight = this->DrainUntil(stop.end);
  if (in_flight != 0) {
    const auto active = this->state.active_requests.Count();
    Log(events::kDrainCutShort,
        {{"in_hand", in_flight}, {"unread", in_flight - active}});
    this->state.active_requests.LogCut();
  }
}

auto RouterProcess::DrainUntil(TimePoint time) -> std::size_t {
  return this->caller_server.Drain(
      std::chrono::duration_cast<std::chrono::milliseconds>(time -
                                                            this->clock.Now()));
}

auto RouterProcess::AppendMetrics(std::string& text) const -> void {
  const auto now = this->clock.Now();
  HostGauges gauges;
  gauges.is_ready = this->IsReady();
  gauges.is_coordinator = this->coordinator.IsActive();
  if (this->state.routes != nullptr) {
    gauges.routes_version = this->state.routes->Config().version;
    gauges.routes_age = now - this->routes_applied_at;
  }
  for (const auto& table : {this->dependencies.schema.RoutesTable(),
                            this->dependencies.schema.BackendsTable()}) {
    gauges.table_ages.emplace(table, this->store.Status(table).age);
  }
  gauges.servers = this->directory.All().size();
  gauges.hosts = this->fleet.Hosts(now);
  gauges.in_flight = this->caller_server.InFlight();
  gauges.dropped_log_lines = DroppedLogLines();
  AppendGauges(text, gauges);
  this->state.metrics.AppendTo(text);
  this->store.Delays().AppendTo(text);
  text += "# TYPE currantbeam_fiber_failures_total counter\n";
  text += "currantbeam_fiber_failures_total " + std::to_string(FailedSteps()) +
          "\n";
  text += "# TYPE currantbeam_loop_delay_seconds histogram\n";
  this->loop_delays.AppendTo(text, "currantbeam_loop_delay_seconds", "");
}

auto RouterProcess::ReadinessHandler::Handle(HttpExchange& exchange) -> void {
  const bool is_ready = this->process.IsReady();
  HttpResponse response{
      is_ready ? http::status::ok : http::status::service_unavailable, 11};
  response.body() = is_ready ? "ready\n" : "not ready\n";
  exchange.Send(std::move(response));
}

auto RouterProcess::ReadinessHandler::OnBadInput(const std::string& what)
    -> void {
  Log(events::kBadRequest, {{"what", what}});
}

}  // namespace currantbeam
