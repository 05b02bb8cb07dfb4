#include "gateway/gateway_control.h"

#include <utility>

#include "core/events.h"

namespace currantbeam {
namespace {

constexpr auto kTick = std::chrono::milliseconds(20);
constexpr auto kGrantTimeout = std::chrono::milliseconds(150);
constexpr auto kObservations = std::chrono::milliseconds(1000);

}  // namespace

GatewayControl::GatewayControl(FiberLoop& loop, GatewayState& state,
                               Driver& driver, BackendClient& client)
    : loop(loop),
      state(state),
      driver(driver),
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
  if (now < this->next_observations) return;
  this->next_observations = now + kObservations;
  this->driver.FillReport(report);
  const auto [account, changes] = this->driver.CurrentAccount();
  if (changes == this->account_sent) return;
  this->account_sent = changes;
  report.account = account;
}

auto GatewayControl::LogFollowing(const Report& report) -> void {
  if (report.bound_to == this->followed) return;
  this->followed = report.bound_to;
  Log(events::kFollowingPlacer,
      {{"placer", this->followed.IsEmpty() ? "none" : this->followed.Value()},
       {"term", std::to_string(report.bound_term.number) + "." +
                    std::to_string(report.bound_term.offline)}});
}

auto GatewayControl::OnMessage(const nlohmann::json& message)
    -> std::optional<nlohmann::json> {
  const auto beat = message.get<Beat>();
  auto report = this->state.WithAgent(
      [&](GatewayAgent& agent) { return agent.OnBeat(beat); });
  if (report.bound_to == beat.placer) this->FillReport(report);
  report.leaving = this->state.IsDraining();
  this->LogFollowing(report);
  this->RefreshView();
  this->RenewGrants();
  report.config_version =
      this->configuration ? this->configuration->version : 0;
  return report;
}

auto GatewayControl::RefreshView() -> void {
  const auto documents = this->state.WithAgent(
      [&](GatewayAgent& agent) -> std::optional<DocumentSet> {
        if (agent.Documents().Cursor() == this->built_cursor) {
          return std::nullopt;
        }
        return agent.Documents();
      });
  if (!documents.has_value()) return;
  this->built_cursor = documents->Cursor();
  try {
    const auto* document = documents->Find(GatewayAgent::kConfigDocument);
    if (document == nullptr) return;
    if (!this->configuration ||
        this->configuration->version != document->stamp.sequence) {
      this->configuration =
          std::make_shared<Configuration>(document->body.get<Configuration>());
      this->driver.SetConfiguration(*this->configuration);
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
      [](GatewayAgent& agent) { return agent.Drives().DueGrants(); });
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
      // Counted as no answer.
    }
  }
  this->state.WithAgent([&](GatewayAgent& agent) {
    if (answer.has_value()) {
      agent.Drives().Confirm(attempt, *answer);
    } else {
      agent.Drives().Fail(attempt);
    }
  });
  // A first answer only brings the server's clock; the grant follows at once.
  if (answer.has_value()) this->RenewGrants();
}

auto GatewayControl::TickLoop() -> void {
  while (!this->stopped) {
    this->RenewGrants();
    const auto now = this->state.GetClock().Now();
    if (now >= this->next_adjust) {
      this->next_adjust = now + ClassController::kInterval;
      this->driver.Adjust();
    }
    SleepFor(kTick);
  }
}

}  // namespace currantbeam
