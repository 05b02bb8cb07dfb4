#include "gateway/gateway_shutdown.h"

#include <algorithm>

#include "core/events.h"

namespace currantbeam {

auto GatewayShutdown::Run() -> void {
  const auto limit = this->state.Settings().drain_timeout;
  Log(events::kProcessDraining, {{"limit_ms", limit.count()}});
  this->state.BeginStop();
  this->dispatcher.UpdateDeadlines();
  const auto stop = this->state.Stop();
  this->client_server.StopAccepting();
  this->DrainUntil(this->client_server, stop.respond_at);
  this->AwaitHandover(stop.respond_at);
  this->forwarding_server.StopAccepting();
  this->DrainUntil(this->forwarding_server, stop.respond_at);
  if (this->InFlight() != 0) {
    this->client_server.RejectUnreadRequests();
    this->forwarding_server.RejectUnreadRequests();
    this->CancelCalls();
  }
  this->DrainUntil(this->client_server, stop.end);
  this->DrainUntil(this->forwarding_server, stop.end);
  if (this->InFlight() != 0) {
    Log(events::kDrainCutShort, {{"in_hand", this->InFlight()}});
  }
}

auto GatewayShutdown::AwaitHandover(TimePoint until) -> void {
  // Other gateways forward requests here until a placer has assigned the
  // servers to them, so the forwarding port stays open meanwhile.
  const auto& clock = this->state.GetClock();
  const auto end = std::min(until, clock.Now() + kMaxHandoverTime);
  while (this->HasServers() && clock.Now() < end) {
    SleepFor(kHandoverPollInterval);
  }
  if (clock.Now() < until) SleepFor(kHandoverPollInterval);
}

auto GatewayShutdown::DrainUntil(HttpServer& server, TimePoint time) -> void {
  server.Drain(std::chrono::duration_cast<std::chrono::milliseconds>(
      time - this->state.GetClock().Now()));
}

auto GatewayShutdown::InFlight() const -> std::size_t {
  return this->client_server.InFlight() + this->forwarding_server.InFlight();
}

auto GatewayShutdown::CancelCalls() -> void {
  for (std::size_t i = 0; i < this->workers.Size(); ++i) {
    this->workers.Loop(i).Spawn([] { CancelOnPeerLoss::CheckAll(); });
  }
}

auto GatewayShutdown::HasServers() -> bool {
  return this->state.WithAgent([](GatewayAgent& agent) {
    return !agent.DrivenServers().Reports().empty();
  });
}

}  // namespace currantbeam
