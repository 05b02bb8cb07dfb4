#include "store/store_clock.h"

#include <algorithm>

namespace currantbeam {
namespace {

/// A bound is replaced after this time; clocks drift by some milliseconds in
/// it.
constexpr Duration kBoundLifetime = std::chrono::seconds(30);

}  // namespace

auto StoreClock::OnResponse(Duration store_time, TimePoint requested_at,
                            TimePoint received_at) -> void {
  this->start = received_at - store_time;
  const auto bound = requested_at - store_time;
  const bool has_stepped = *this->start < this->min_start;
  if (has_stepped) {
    this->min_start = bound;
    this->next_min_start = bound;
  }
  this->min_start = std::max(this->min_start, bound);
  this->next_min_start = std::max(this->next_min_start, bound);
  if (received_at < this->replace_at) return;
  this->min_start = this->next_min_start;
  this->next_min_start = bound;
  this->replace_at = received_at + kBoundLifetime;
}

auto StoreClock::StoreTime(TimePoint at) const -> Duration {
  if (!this->start) return Duration(0);
  return std::max<Duration>(at - *this->start, Duration(0));
}

auto StoreClock::RespondedAt(Duration store_time, TimePoint requested_at,
                             TimePoint received_at) const -> TimePoint {
  return std::clamp(this->min_start + store_time, requested_at, received_at);
}

}  // namespace currantbeam
