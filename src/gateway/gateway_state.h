#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

#include "config/config.h"
#include "core/core.h"
#include "gateway/metrics.h"
#include "ownership/ownership.h"
#include "routing/routing.h"

namespace currantbeam {

/// What a gateway's workers share. Lock order: a server queue's lock before
/// the agent's lock; Metrics' and HotKeys' locks last.
class GatewayState {
 public:
  GatewayState(const GatewaySettings& settings, const LeaseTiming& timing,
               const Clock& clock);

  /// What a worker needs to route a request; both parts are immutable.
  struct View {
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const RoutingTable> routes;
  };

  /// @return the newest view; its parts are null until one is known.
  [[nodiscard]] auto CurrentView() const -> View;
  auto SetView(View view) -> void;

  /// Runs `use` on the agent under its lock.
  template <typename Use>
  auto WithAgent(Use use) {
    const std::lock_guard lock(this->agent_mutex);
    return use(this->agent);
  }

  [[nodiscard]] auto MayServe() -> bool;
  [[nodiscard]] auto Settings() const -> const GatewaySettings& {
    return this->settings;
  }
  [[nodiscard]] auto GetClock() const -> const Clock& { return this->clock; }
  auto GetMetrics() -> Metrics& { return this->metrics; }
  auto SetDraining() -> void { this->draining = true; }
  [[nodiscard]] auto IsDraining() const -> bool { return this->draining; }

 private:
  GatewaySettings settings;
  const Clock& clock;
  Metrics metrics;
  std::atomic<bool> draining{false};
  std::mutex agent_mutex;
  GatewayAgent agent;
  mutable std::mutex view_mutex;  ///< Never held with another lock.
  View view;
};

}  // namespace currantbeam
