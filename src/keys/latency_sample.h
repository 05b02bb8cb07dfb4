#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace currantbeam {

/// The newest latencies of one server, to take a quantile of. One that is far
/// off, as that of a request that asked for next to nothing, counts as one of
/// many, whenever it came.
class LatencySample {
 public:
  auto Add(std::chrono::milliseconds latency) -> void;
  /// @return how many latencies are known, up to a limit.
  [[nodiscard]] auto Count() const -> int {
    return static_cast<int>(this->count);
  }
  /// @param part  of the latencies that are to lie below, from 0 to 1.
  /// @return the latency below which they lie; 0 if none are known.
  [[nodiscard]] auto Quantile(double fraction) const
      -> std::chrono::milliseconds;

 private:
  static constexpr std::size_t kMaxSamples = 64;

  std::array<std::uint16_t, kMaxSamples> latencies_ms{};
  std::size_t count = 0;
  std::size_t next = 0;
};

}  // namespace currantbeam
