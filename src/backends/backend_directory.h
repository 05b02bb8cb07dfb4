#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "backends/backend_target.h"

namespace currantbeam {

/// The backend servers that are known, by what they say of themselves in the
/// store.
class BackendDirectory {
 public:
  explicit BackendDirectory(const Clock& clock) : clock(clock) {}

  /// Takes in what a server says; a new life of it starts afresh.
  auto Apply(const BackendEntry& entry) -> void;
  /// The server's entry has gone. While entries may have lapsed with the
  /// store, the server is kept for as long as it may take them to come back.
  auto Remove(const ServerId& id) -> void;
  /// Entries may have lapsed; they may be on their way back after this.
  auto OnStoreBack() -> void;
  /// This many gateways send to the servers.
  auto SetGateways(int gateways) -> void;
  /// Drops the servers whose entries did not come back. Call now and then.
  auto DropLapsed() -> void;

  /// @return the service's servers that take new work.
  [[nodiscard]] auto Ready(const ServiceName& service) const
      -> const std::vector<BackendTargetPtr>&;
  /// @return the server, draining or not; null if it is not known.
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
  std::unordered_map<ServiceName, std::shared_ptr<TypicalLatency>> typical;
  std::map<ServerId, TimePoint> lapsed;  ///< Until when each may come back.
  TimePoint entries_return_until{};
  int gateways = 1;
};

}  // namespace currantbeam
