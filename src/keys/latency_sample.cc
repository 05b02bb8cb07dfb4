#include "keys/latency_sample.h"

#include <algorithm>
#include <limits>

namespace currantbeam {

auto LatencySample::Add(int latency_ms) -> void {
  const int most = std::numeric_limits<std::uint16_t>::max();
  this->latencies_ms[this->next] =
      static_cast<std::uint16_t>(std::clamp(latency_ms, 1, most));
  this->next = (this->next + 1) % kMost;
  this->count = std::min(this->count + 1, kMost);
}

auto LatencySample::Quantile(double part) const -> double {
  if (this->count == 0) return 0;
  auto sorted = this->latencies_ms;
  const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(this->count);
  const auto place =
      static_cast<std::ptrdiff_t>(part * static_cast<double>(this->count - 1));
  std::nth_element(sorted.begin(), sorted.begin() + place, end);
  return sorted[static_cast<std::size_t>(place)];
}

}  // namespace currantbeam
