#pragma once

#include <optional>

#include "core/core.h"

namespace currantbeam {

/// Relates the store's clock, which its responses state, to this host's clock.
class StoreClock {
 public:
  /// The store's response to a call stated this time of its clock.
  auto OnResponse(Duration store_time, TimePoint requested_at,
                  TimePoint received_at) -> void;
  /// Another host estimates that the store's clock showed this at that time.
  auto OnEstimate(Duration store_time, TimePoint at) -> void {
    this->start = at - store_time;
  }
  /// @return the store's clock at this host's time; 0 if it is unknown.
  [[nodiscard]] auto StoreTime(TimePoint at) const -> Duration;
  /// @return this host's time when a response was made that states this time of
  ///   the store's clock, or earlier by the error of the estimate; not before
  ///   the request for it was sent.
  [[nodiscard]] auto RespondedAt(Duration store_time, TimePoint requested_at,
                                 TimePoint received_at) const -> TimePoint;

 private:
  /// Estimate of this host's time when the store's clock was 0.
  std::optional<TimePoint> start;
  /// The store's clock was not 0 before this time: the latest such bound, and
  /// the one that replaces it, so that a drift of the clocks has no effect.
  TimePoint min_start{};
  TimePoint next_min_start{};
  TimePoint replace_at{};
};

}  // namespace currantbeam
