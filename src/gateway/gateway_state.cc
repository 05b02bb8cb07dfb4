#include "gateway/gateway_state.h"

#include <algorithm>
#include <random>
#include <utility>

namespace currantbeam {
namespace {

auto RandomIncarnation() -> std::uint64_t {
  std::random_device device;
  // 53 bits, which every JSON reader represents exactly.
  return ((static_cast<std::uint64_t>(device()) << 32) | device()) >> 11;
}

}  // namespace

GatewayState::GatewayState(const GatewaySettings& settings,
                           const LeaseTiming& timing, const Clock& clock)
    : settings(settings),
      clock(clock),
      agent(settings.host, settings.domain, RandomIncarnation(), timing,
            clock) {}

auto GatewayState::CurrentView() const -> View {
  const std::lock_guard lock(this->view_mutex);
  return this->view;
}

auto GatewayState::SetView(View view) -> void {
  const std::lock_guard lock(this->view_mutex);
  this->view = std::move(view);
}

auto GatewayState::BeginStop() -> void {
  this->stop = StopSchedule(this->clock.Now(), this->settings.drain_timeout);
  this->draining = true;
}

auto GatewayState::Stop() const -> StopSchedule {
  return this->draining ? this->stop : StopSchedule();
}

auto GatewayState::ServerDeadline(TimePoint deadline) const -> TimePoint {
  return std::min(deadline, this->Stop().servers_until);
}

auto GatewayState::MustRespond() const -> bool {
  return this->clock.Now() >= this->Stop().respond_at;
}

auto GatewayState::MayServe() -> bool {
  if (this->draining) return false;
  return this->WithAgent(
      [](const GatewayAgent& agent) { return agent.MayServe(); });
}

}  // namespace currantbeam
