#include "gateway/gateway_control.h"

#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr auto kGrantTimeout = std::chrono::milliseconds(150);
constexpr auto kObservationInterval = std::chrono::milliseconds(1000);

}  // namespace

GatewayControl::GatewayControl(FiberLoop& loop, GatewayState& state,
                               BackendDispatcher& dispatcher,
                               BackendClient& client)
    : loop(loop),
      state(state),
      dispatcher(dispatcher),
      client(client),
      peers(loop, [this](const nlohmann::json& message) {
        return this->OnMessage(message);
      }) {}

auto GatewayControl::Start() -> void {
  const auto& settings = this->state.Settings();
  this->peers.Listen(settings.address, settings.control_port);
  this->loop.Spawn([this] { this->TickLoop(); });
}

auto GatewayControl::Stop() -> void {
  this->stopped = true;
  this->peers.Stop();
}

auto GatewayControl::FillReport(Report& report) -> void {
  const auto now = this->state.GetClock().Now();
  if (now < this->next_observation) return;
  this->next_observation = now + kObservationInterval;
  this->dispatcher.FillReport(report);
  const auto [account, changes] = this->dispatcher.GetAccount();
  if (changes == this->reported_account_changes) return;
  this->reported_account_changes = changes;
  report.account = account;
}

auto GatewayControl::LogPlacerChange(const Report& report) -> void {
  if (report.followed_placer == this->followed_placer) return;
  this->followed_placer = report.followed_placer;
  Log(events::kFollowingPlacer,
      {{"placer", this->followed_placer.IsEmpty()
                      ? "none"
                      : this->followed_placer.Value()},
       {"term", std::to_string(report.followed_term.number) + "." +
                    std::to_string(report.followed_term.offline)}});
}

auto GatewayControl::OnMessage(const nlohmann::json& message)
    -> std::optional<nlohmann::json> {
  const auto heartbeat = message.get<Heartbeat>();
  auto report = this->state.WithAgent(
      [&](GatewayAgent& agent) { return agent.OnHeartbeat(heartbeat); });
  if (report.followed_placer == heartbeat.placer) this->FillReport(report);
  report.leaving = this->state.IsDraining();
  this->LogPlacerChange(report);
  this->RefreshView();
  this->RenewGrants();
  report.config_version =
      this->configuration ? this->configuration->version : 0;
  return report;
}

auto GatewayControl::RefreshView() -> void {
  const auto documents = this->state.WithAgent(
      [&](GatewayAgent& agent) -> std::optional<DocumentSet> {
        if (agent.Documents().Cursor() == this->view_cursor) {
          return std::nullopt;
        }
        return agent.Documents();
      });
  if (!documents.has_value()) return;
  this->view_cursor = documents->Cursor();
  try {
    const auto* document = documents->Find(GatewayAgent::kConfigDocument);
    if (document == nullptr) return;
    if (!this->configuration ||
        this->configuration->version != document->stamp.sequence) {
      this->configuration =
          std::make_shared<Configuration>(document->body.get<Configuration>());
      this->dispatcher.SetConfiguration(*this->configuration);
      Log(events::kConfigInForce, {{"version", this->configuration->version}});
    }
    std::vector<RoutingTable::ServiceSize> services;
    for (const auto& service : this->configuration->services) {
      services.push_back({service.name, service.slots});
    }
    this->routes = RoutingTable::Build(*documents, services);
    this->state.SetView({this->configuration, this->routes});
  } catch (const nlohmann::json::exception& error) {
    Log(events::kBadDocument, {{"error", error.what()}});
  }
}

auto GatewayControl::RenewGrants() -> void {
  const auto due = this->state.WithAgent(
      [](GatewayAgent& agent) { return agent.DrivenServers().DueGrants(); });
  for (const auto& attempt : due) {
    this->loop.Spawn([this, attempt] { this->SendGrant(attempt); });
  }
}

auto GatewayControl::SendGrant(const GrantAttempt& attempt) -> void {
  const auto routes = this->routes;
  const auto* target = routes ? routes->FindTarget(attempt.server) : nullptr;
  std::optional<GrantAnswer> answer;
  if (target != nullptr) {
    try {
      answer =
          this->client.SendGrant(target->server, attempt.grant, kGrantTimeout);
    } catch (const Error&) {
      // Handled below as a failed attempt.
    }
  }
  this->state.WithAgent([&](GatewayAgent& agent) {
    if (answer.has_value()) {
      agent.DrivenServers().Confirm(attempt, *answer);
    } else {
      agent.DrivenServers().Fail(attempt);
    }
  });
  // The first response only reports the server's clock, which a grant's expiry
  // is based on, so the grant itself is sent right after it.
  if (answer.has_value()) this->RenewGrants();
}

auto GatewayControl::Tick() -> void {
  this->RenewGrants();
  const auto now = this->state.GetClock().Now();
  if (now < this->next_adjustment) return;
  this->next_adjustment = now + ClassController::kInterval;
  this->dispatcher.AdjustWeights();
}

auto GatewayControl::TickLoop() -> void {
  while (!this->stopped) {
    TryStep("control", [this] { this->Tick(); });
    SleepFor(kTickInterval);
  }
}

}  // namespace currantbeam
