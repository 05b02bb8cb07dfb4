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

/// The state that a gateway's workers share: settings, metrics, the agent that
/// follows the placers, and the routing view. Lock order: the mutex of a
/// server's queue before the agent's; that of Metrics last.
class GatewayState {
 public:
  GatewayState(const GatewaySettings& settings, const LeaseTiming& timing,
               const Clock& clock);

  /// The configuration and routes that a worker routes requests by. Both are
  /// immutable.
  struct View {
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const RoutingTable> routes;
  };

  /// @return the newest view; both pointers are null until the first one is
  /// set.
  [[nodiscard]] auto CurrentView() const -> View;
  auto SetView(View view) -> void;

  /// Calls `use` with the agent while holding its mutex.
  /// @return what `use` returns.
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
  /// Fixes the schedule of the stop, which bounds all requests in flight. Call
  /// it once.
  auto BeginStop() -> void;
  /// @return the schedule of the stop; all times are TimePoint::max() before
  ///   BeginStop().
  [[nodiscard]] auto Stop() const -> StopSchedule;
  /// @return when a server or another gateway must have responded to a request
  ///   with this deadline.
  [[nodiscard]] auto ServerDeadline(TimePoint deadline) const -> TimePoint;
  /// @return whether requests without a response have to get one now because
  ///   the process stops.
  [[nodiscard]] auto MustRespond() const -> bool;
  [[nodiscard]] auto IsDraining() const -> bool { return this->draining; }

 private:
  GatewaySettings settings;
  const Clock& clock;
  Metrics metrics;
  /// Written once, before `draining` is set.
  StopSchedule stop;
  std::atomic<bool> draining{false};
  std::mutex agent_mutex;
  GatewayAgent agent;
  mutable std::mutex view_mutex;  ///< Never held together with another mutex.
  View view;
};

}  // namespace currantbeam
