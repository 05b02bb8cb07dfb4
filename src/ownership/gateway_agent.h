#pragma once

#include <cstdint>

#include "core/core.h"
#include "ownership/document.h"
#include "ownership/driven_server_set.h"
#include "ownership/messages.h"
#include "ownership/placer_follower.h"

namespace currantbeam {

/// The control plane client of a gateway: follows a placer, stores the
/// documents that it publishes, and drives the servers that it assigns. Does no
/// I/O: the caller receives the heartbeats and sends the reports and grants.
class GatewayAgent {
 public:
  GatewayAgent(HostId self, FailureDomain domain, std::uint64_t incarnation,
               const LeaseTiming& timing, const Clock& clock);

  /// Applies a heartbeat if this gateway follows the placer that sent it.
  /// @return the report to send back immediately.
  auto OnHeartbeat(const Heartbeat& heartbeat) -> Report;

  auto DrivenServers() -> DrivenServerSet& { return this->driven_servers; }
  [[nodiscard]] auto DrivenServers() const -> const DrivenServerSet& {
    return this->driven_servers;
  }
  [[nodiscard]] auto Documents() const -> const DocumentSet& {
    return this->documents;
  }
  /// @return the version of the stored configuration, or 0 if there is none.
  [[nodiscard]] auto ConfigVersion() const -> std::uint64_t;
  /// @return true if there is a configuration and an active placer confirmed it
  /// within the config lease. Otherwise the gateway must not serve callers.
  [[nodiscard]] auto MayServe() const -> bool;

  static constexpr auto kConfigLease = std::chrono::milliseconds(3000);
  static constexpr auto kConfigDocument = "config";

 private:
  auto Follow(const Heartbeat& heartbeat) -> void;
  auto UpdateOwned() -> void;

  HostId self;
  FailureDomain domain;
  std::uint64_t incarnation;
  LeaseTiming timing;
  const Clock& clock;
  PlacerFollower follower;
  DocumentSet documents;
  DrivenServerSet driven_servers;
  std::uint64_t session = 0;
  std::uint64_t cursor = 0;
  TimePoint config_lease_until;
  std::int64_t last_report_clock = 0;  ///< Report::clock, microseconds.
};

}  // namespace currantbeam
