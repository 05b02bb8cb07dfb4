#include "policy/retry_after_scheduler.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// A server that has no room now has none for about this long.
constexpr auto kLeastWait = std::chrono::milliseconds(100);
/// Nobody can be told to come back later than this.
constexpr auto kHorizon = std::chrono::seconds(10);
/// A server that has had room for this long counts as full anew.
constexpr auto kFullMemory = std::chrono::milliseconds(500);

}  // namespace

auto RetryAfterScheduler::NoteFull(TimePoint now) -> void {
  if (now - this->full_at > kFullMemory) {
    this->full_since = now;
    this->answers = 0;
  }
  this->full_at = now;
}

auto RetryAfterScheduler::Next(TimePoint now, Duration interval,
                               Duration longest) -> Duration {
  this->NoteFull(now);
  const Duration seen = (now - this->full_since) / (this->answers + 1);
  const auto from = std::max(this->booked_until, now + kLeastWait);
  this->booked_until =
      std::min(from + std::max(interval, seen), now + kHorizon);
  return std::min<Duration>(from - now, std::max(longest, Duration(0)));
}

}  // namespace currantbeam
