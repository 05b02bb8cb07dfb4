#pragma once

#include <chrono>

#include "core/clock.h"

namespace currantbeam {

/// Durations of the leases, heartbeats and grants between placers, gateways and
/// backend servers. The sum of leader_lease, driver_lease and
/// heartbeat_interval must be less than the recovery target of 1 s.
struct LeaseTiming {
  /// Between two heartbeats of a placer.
  Duration heartbeat_interval = std::chrono::milliseconds(75);
  /// Lease of the active placer.
  Duration leader_lease = std::chrono::milliseconds(300);
  /// Lease under which a gateway is the driver of backend servers.
  Duration driver_lease = std::chrono::milliseconds(420);
  /// Longest validity of a grant that a driver sends to a backend server.
  Duration grant_duration = std::chrono::milliseconds(350);
  Duration grant_renewal_interval = std::chrono::milliseconds(75);
  /// Safety margin for the different clock rates of two processes of which one
  /// waits for the other's lease or grant to expire.
  Duration clock_drift_allowance = std::chrono::milliseconds(15);
};

}  // namespace currantbeam
