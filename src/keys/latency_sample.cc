#include "keys/latency_sample.h"

#include <algorithm>
#include <limits>

namespace currantbeam {

auto LatencySample::Add(std::chrono::milliseconds latency) -> void {
  constexpr std::int64_t kMaxLatencyMs =
      std::numeric_limits<std::uint16_t>::max();
  this->latencies_ms[this->next] = static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(latency.count(), 1, kMaxLatencyMs));
  this->next = (this->next + 1) % kMaxSamples;
  this->count = std::min(this->count + 1, kMaxSamples);
}

auto LatencySample::Quantile(double fraction) const
    -> std::chrono::milliseconds {
  if (this->count == 0) return std::chrono::milliseconds(0);
  auto sorted = this->latencies_ms;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->count);
  const auto rank = static_cast<std::ptrdiff_t>(
      fraction * static_cast<double>(this->count - 1));
  std::nth_element(sorted.begin(), sorted.begin() + rank, end);
  return std::chrono::milliseconds(sorted[static_cast<std::size_t>(rank)]);
}

}  // namespace currantbeam
