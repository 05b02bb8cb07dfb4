#include "policy/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace currantbeam {
namespace {

/// The limit decreases at most once per interval, so that a burst of refusals
/// counts once.
constexpr auto kDecreaseInterval = std::chrono::milliseconds(100);
constexpr double kDecreaseFactor = 0.7;
/// The limit grows by one after this many times its value in responses.
constexpr double kResponsesPerStep = 4;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, TimePoint now) : slots(slots) {
  this->Reset(now);
}

auto ConcurrencyLimit::Reset(TimePoint now) -> void {
  this->limit = std::max(1.0, this->slots / 2.0);
  this->last_decrease = now - kDecreaseInterval;
}

auto ConcurrencyLimit::Limit() const -> int {
  const auto whole = static_cast<int>(std::floor(this->limit));
  return std::clamp(whole, 1, std::max(this->slots, 1));
}

auto ConcurrencyLimit::OnResponse(TimePoint /*now*/) -> void {
  this->limit = std::min(this->limit + 1 / (kResponsesPerStep * this->limit),
                         static_cast<double>(std::max(this->slots, 1)));
}

auto ConcurrencyLimit::OnShed(TimePoint now) -> void {
  if (now - this->last_decrease < kDecreaseInterval) return;
  this->last_decrease = now;
  this->limit = std::max(1.0, this->limit * kDecreaseFactor);
}

}  // namespace currantbeam
