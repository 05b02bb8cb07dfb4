#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "backends/backend_target.h"

namespace currantbeam {

/// The known backend servers, maintained from the entries that they publish in
/// the store.
class BackendDirectory {
 public:
  explicit BackendDirectory(const Clock& clock) : clock(clock) {}

  /// Adds or updates a server. If it has restarted, or its address or service
  /// has changed, its observed load is reset.
  auto Apply(const BackendEntry& entry) -> void;
  /// The server's entry was removed from the store. Within the grace period
  /// after the store has recovered, the server is kept until the period ends.
  auto Remove(const ServerId& id) -> void;
  /// The store is reachable again. Starts the grace period, as entries may have
  /// expired while it was unreachable and their servers publish them again.
  auto OnStoreRecovered() -> void;
  /// Sets how many gateways send requests to the servers.
  auto SetGateways(int gateways) -> void;
  /// Removes the servers whose entries were not published again within the
  /// grace period. To be called periodically; servers are removed with that
  /// delay.
  auto RemoveExpired() -> void;

  /// @return the servers of the service that are not draining, ordered by id.
  [[nodiscard]] auto Ready(const ServiceName& service) const
      -> const std::vector<BackendTargetPtr>&;
  /// @return the server, draining or not; null if it is unknown.
  [[nodiscard]] auto Find(const ServerId& id) const -> BackendTargetPtr;
  [[nodiscard]] auto All() const
      -> const std::unordered_map<ServerId, BackendTargetPtr>& {
    return this->targets;
  }

 private:
  auto Rebuild() -> void;

  const Clock& clock;
  std::unordered_map<ServerId, BackendTargetPtr> targets;
  std::unordered_map<ServiceName, std::vector<BackendTargetPtr>> ready;
  std::unordered_map<ServiceName, std::shared_ptr<TypicalLatency>>
      typical_latencies;
  /// Servers without an entry, with the end of their grace period.
  std::map<ServerId, TimePoint> expired;
  TimePoint grace_period_end{};
  int gateways = 1;
};

}  // namespace currantbeam
