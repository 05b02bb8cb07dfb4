#pragma once

#include <deque>

#include "core/core.h"

namespace currantbeam {

/// Estimates how many hosts share a fleet-wide limit, from the host counts that
/// the key coordinator sends. The estimate is the maximum over a sliding
/// window: it grows at once and shrinks late, because hosts that are
/// unreachable for the coordinator may still send requests.
class FleetSize {
 public:
  /// Records a host count that was received at the given time.
  auto Update(int hosts, TimePoint now) -> void;
  /// @return the largest host count received within the window; the latest one
  ///   if the window is empty; a large default if none was ever received.
  [[nodiscard]] auto Hosts(TimePoint now) const -> int;

 private:
  struct Sample {
    int hosts = 0;
    TimePoint time{};  ///< When this count was last received.
  };
  /// Ordered by time, with strictly decreasing host counts.
  std::deque<Sample> samples;
};

}  // namespace currantbeam
