#include "router/router_process.h"

#include <unistd.h>

#include <algorithm>

#include "core/events.h"

namespace currantbeam {
namespace {

/// What a host that keeps the keys of a large fleet makes use of. Hosts that
/// have less leave the duty to others first, for up to this long.
constexpr double kAmpleProcessor = 0.5;
constexpr double kAmpleLinkMbps = 100;
constexpr auto kLongestYield = std::chrono::milliseconds(800);
constexpr auto kSweepInterval = std::chrono::milliseconds(200);
/// A timer that is this late shows that the loop has more to do than it can.
constexpr auto kLateLoop = std::chrono::milliseconds(50);
constexpr int kSweepsPerSettingsPoll = 5;
constexpr auto kBackendBatching = std::chrono::milliseconds(250);
/// Of the time until the process is killed: when the last connections are
/// closed, and when work that still runs is given up.
constexpr double kCloseIdlePart = 0.5;
constexpr double kGiveUpPart = 0.92;

auto OptionsFor(const Endpoint& endpoint) -> HttpServer::Options {
  HttpServer::Options options;
  options.address = endpoint.address;
  options.port = endpoint.port;
  return options;
}

auto Part(std::chrono::milliseconds whole, double part)
    -> std::chrono::milliseconds {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(static_cast<double>(whole.count()) * part));
}

/// @return how able a host is to keep the keys, from 0 to 1.
auto StrengthOf(const RouterSettings& settings) -> double {
  return std::min({settings.processor_share / kAmpleProcessor,
                   settings.link_mbps / kAmpleLinkMbps, 1.0});
}

auto KeeperOptions(const RouterSettings& settings) -> KeyKeeper::Options {
  KeyKeeper::Options options;
  options.lease.holder =
      settings.host.Value() + "/" + std::to_string(::getpid()) + "/" +
      std::to_string(BootClock().Now().time_since_epoch().count());
  options.lease.endpoint =
      settings.peers.address + ":" + std::to_string(settings.peers.port);
  options.lease.yield = Part(kLongestYield, 1 - StrengthOf(settings));
  options.grants = settings.grants;
  return options;
}

}  // namespace

RouterProcess::RouterProcess(const RouterSettings& settings, RouterPeers peers)
    : settings(settings),
      peers(std::move(peers)),
      directory(this->clock),
      owners(this->clock),
      store(this->peers.store, this->clock,
            {this->peers.schema.RoutesTable(),
             this->peers.schema.BackendsTable()}),
      exchange(settings, this->clock, this->loads, this->owners, this->fleet,
               this->store),
      state(this->clock, this->peers.headers, this->directory, this->owners,
            this->loads, settings.domain),
      forwarder(this->state),
      readiness_handler(*this),
      callers(OptionsFor(settings.callers), this->forwarder),
      readiness(OptionsFor(settings.readiness), this->readiness_handler),
      metrics_page(*this),
      metrics(OptionsFor(settings.metrics), this->metrics_page),
      keeper(this->peers.store, this->peers.grants, this->clock,
             this->directory, KeeperOptions(settings),
             [this](const OwnerUpdate& update) {
               this->exchange.Publish(update);
             }),
      routes_listener(
          this->peers.schema,
          [this](RouteConfig config) { this->TakeRoutes(std::move(config)); }),
      backends_listener(this->peers.schema, this->directory),
      stop_signal(this->loop, [this] { this->Drain(); }),
      reload_signal(this->loop, [this] { this->PollSettings(); }) {}

auto RouterProcess::Run() -> void {
  this->NoteFleetSize();
  this->callers.Listen(this->loop);
  this->readiness.Listen(this->loop);
  this->metrics.Listen(this->loop);
  this->exchange.Start(this->loop, this->keeper);
  this->loop.Spawn([this] {
    this->StartFollowing(this->peers.schema.RoutesTable(),
                         this->routes_listener, std::chrono::milliseconds(0));
    this->StartFollowing(this->peers.schema.BackendsTable(),
                         this->backends_listener, kBackendBatching);
    this->keeper.Start();
    this->Sweep();
  });
  Log(events::kProcessStarted,
      {{"version", kVersion}, {"domain", this->settings.domain.Value()}});
  this->loop.Run();
  Log(events::kProcessStopped);
  FlushLog();
}

auto RouterProcess::StartFollowing(const std::string& table,
                                   TableListener& listener,
                                   std::chrono::milliseconds batching) -> void {
  FollowOptions options;
  options.table = table;
  options.batching = batching;
  this->loop.Spawn([this, options, &listener] {
    TableFollower follower(this->store, options, listener);
    while (true) SleepFor(follower.Step());
  });
}

auto RouterProcess::TakeRoutes(RouteConfig config) -> void {
  HttpLimits limits;
  limits.header_bytes = config.limits.header_bytes;
  limits.body_bytes = config.limits.body_bytes;
  limits.header_timeout = config.limits.header_timeout;
  limits.idle_timeout = config.limits.idle_timeout;
  this->callers.SetLimits(limits);
  std::set<ServiceName> keyed;
  for (const auto& [name, spec] : config.services) {
    if (spec.is_keyed) keyed.insert(name);
  }
  this->keeper.SetServices(keyed);
  this->state.routes = std::make_shared<const RouteTable>(std::move(config));
  this->routes_at = this->clock.Now();
}

auto RouterProcess::Sweep() -> void {
  for (int sweep = 0;; ++sweep) {
    const auto began = this->clock.Now();
    SleepFor(kSweepInterval);
    const auto late = this->clock.Now() - began - kSweepInterval;
    this->state.is_late = late > kLateLoop;
    this->directory.DropLapsed();
    FlushLog();
    this->NoteFleetSize();
    if (sweep % kSweepsPerSettingsPoll == 0) this->PollSettings();
  }
}

auto RouterProcess::NoteFleetSize() -> void {
  const int hosts = this->fleet.Hosts(this->clock.Now());
  this->directory.SetGateways(hosts);
  this->state.SetRetryLimits(this->settings.retries.PerHost(hosts));
}

auto RouterProcess::PollSettings() -> void {
  try {
    const auto changed = this->peers.settings.Poll();
    if (!changed) return;
    this->settings.stop_grace = changed->stop_grace;
    this->settings.retries = changed->retries;
    this->NoteFleetSize();
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
  const auto grace = this->settings.stop_grace;
  Log(events::kProcessDraining, {{"limit_ms", grace.count()}});
  const auto began = this->clock.Now();
  this->draining = true;
  this->callers.CloseAfterResponses();
  // On its own, as the store may take its time.
  this->loop.Spawn([this] { this->keeper.Stop(); });
  SleepFor(Part(grace, kCloseIdlePart) - (this->clock.Now() - began));
  this->callers.StopAccepting();
  this->callers.CloseIdleConnections();
  const auto left = Part(grace, kGiveUpPart) - (this->clock.Now() - began);
  const auto in_hand = this->callers.Drain(
      std::chrono::duration_cast<std::chrono::milliseconds>(left));
  if (in_hand != 0) {
    Log(events::kDrainCutShort, {{"in_hand", in_hand}});
  }
  this->loop.Stop();
}

auto RouterProcess::AppendMetrics(std::string& text) const -> void {
  const auto now = this->clock.Now();
  HostGauges gauges;
  gauges.is_ready = this->IsReady();
  gauges.is_keeper = this->keeper.IsActive();
  if (this->state.routes != nullptr) {
    gauges.routes_version = this->state.routes->Config().version;
    gauges.routes_age = now - this->routes_at;
  }
  gauges.table_ages = this->store.Ages();
  gauges.servers = this->directory.All().size();
  gauges.hosts = this->fleet.Hosts(now);
  gauges.in_hand = this->callers.InFlight();
  gauges.dropped_log_lines = DroppedLogLines();
  AppendGauges(text, gauges);
  this->state.metrics.AppendTo(text);
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
