#pragma once

#include <chrono>

#include "core/clock.h"

namespace currantbeam {

/// The durations that leases, heartbeats and grants are built from.
/// Leader lease + drive lease + one beat stay below the 1 s recovery target.
struct LeaseTiming {
  Duration beat_interval = std::chrono::milliseconds(75);
  Duration leader_lease = std::chrono::milliseconds(300);
  Duration drive_lease = std::chrono::milliseconds(420);
  Duration grant = std::chrono::milliseconds(350);
  Duration grant_interval = std::chrono::milliseconds(75);
  Duration drift_allowance = std::chrono::milliseconds(15);
};

}  // namespace currantbeam
