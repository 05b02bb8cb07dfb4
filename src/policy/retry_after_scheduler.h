#pragma once

#include "core/core.h"

namespace currantbeam {

/// Computes the Retry-After delays of clients that one backend server has no
/// capacity for. Clients are scheduled one after the other, at the interval at
/// which the server responds, so that each finds capacity when it returns. This
/// spreads the load of a hot key that is requested many times faster than its
/// server can respond, which lasts for seconds, and that of a short burst.
class RetryAfterScheduler {
 public:
  /// Records that the server answered a request.
  auto OnResponse() -> void { ++this->responses; }
  /// Schedules the return of one rejected client.
  /// @param expected_interval  time in which the server is expected to answer
  ///   one more request of this host. The interval measured since the server
  ///   became full is used instead if it is longer.
  /// @param max_delay  longest delay that may be returned.
  /// @return how long the client should wait before it retries; 0 if
  ///   `max_delay` is negative.
  [[nodiscard]] auto NextDelay(TimePoint now, Duration expected_interval,
                               Duration max_delay) -> Duration;

 private:
  auto RecordFull(TimePoint now) -> void;

  TimePoint reserved_until{};  ///< Capacity until then is scheduled already.
  TimePoint full_since{};  ///< Start of the current period without capacity.
  TimePoint last_full{};   ///< When a client was last rejected.
  int responses = 0;       ///< Responses since `full_since`.
};

}  // namespace currantbeam
