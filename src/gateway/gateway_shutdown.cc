#include "gateway/gateway_shutdown.h"

#include "core/events.h"

namespace currantbeam {

auto GatewayShutdown::Run() -> void {
  const auto timeout = this->state.Settings().drain_timeout;
  Log(events::kProcessDraining, {{"limit_ms", timeout.count()}});
  this->state.SetDraining();
  this->client_server.StopAccepting();
  auto outstanding = this->client_server.Drain(timeout);
  // Other gateways forward requests here until a placer has assigned the
  // servers to them, so this port stays open during the handover.
  for (int i = 0; i < kMaxHandoverPolls && this->HasServers(); ++i) {
    SleepFor(kHandoverPollInterval);
  }
  SleepFor(kHandoverPollInterval);
  this->forwarding_server.StopAccepting();
  outstanding += this->forwarding_server.Drain(timeout);
  if (outstanding != 0) {
    Log(events::kDrainCutShort, {{"in_hand", outstanding}});
  }
}

auto GatewayShutdown::HasServers() -> bool {
  return this->state.WithAgent([](GatewayAgent& agent) {
    return !agent.DrivenServers().Reports().empty();
  });
}

}  // namespace currantbeam
