#include "policy/retry_after_scheduler.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// A server without capacity is expected to stay so for this long.
constexpr auto kMinDelay = std::chrono::milliseconds(100);
/// Latest time for which a return is scheduled, from now.
constexpr auto kMaxReservation = std::chrono::seconds(10);
/// A period without capacity ends when no client was rejected for this long.
constexpr auto kFullTimeout = std::chrono::milliseconds(500);

}  // namespace

auto RetryAfterScheduler::RecordFull(TimePoint now) -> void {
  if (now - this->last_full > kFullTimeout) {
    this->full_since = now;
    this->responses = 0;
  }
  this->last_full = now;
}

auto RetryAfterScheduler::NextDelay(TimePoint now, Duration expected_interval,
                                    Duration max_delay) -> Duration {
  this->RecordFull(now);
  const Duration measured_interval =
      (now - this->full_since) / (this->responses + 1);
  const auto start = std::max(this->reserved_until, now + kMinDelay);
  this->reserved_until =
      std::min(start + std::max(expected_interval, measured_interval),
               now + kMaxReservation);
  return std::min<Duration>(start - now, std::max(max_delay, Duration(0)));
}

}  // namespace currantbeam
