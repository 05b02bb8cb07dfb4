#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantbeam {

/// The most recent latencies of one server. Their quantiles give all samples
/// the same weight, so an outlier, such as a very cheap request, has little
/// influence regardless of its age.
class LatencySample {
 public:
  /// Latencies are stored between 1 ms and 65 535 ms.
  auto Add(std::chrono::milliseconds latency) -> void;
  /// @return the number of stored latencies, at most kMaxSamples.
  [[nodiscard]] auto Count() const -> int {
    return static_cast<int>(this->count);
  }
  /// @param fraction  of the latencies that are lower, from 0 to 1.
  /// @return the quantile; 0 if there are no latencies.
  [[nodiscard]] auto Quantile(double fraction) const
      -> std::chrono::milliseconds;

 private:
  static constexpr std::size_t kMaxSamples = 64;

  std::array<std::uint16_t, kMaxSamples> latencies_ms{};
  std::size_t count = 0;
  std::size_t next = 0;
};

}  // namespace currantbeam
