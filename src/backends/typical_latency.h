#pragma once

#include <cstdint>

#include "core/core.h"

namespace currantbeam {

/// The average latency of a service's answers here, which is what to expect of
/// a server that has not been seen, or not for a while.
class TypicalLatency {
 public:
  /// @param first  expected before any answer.
  explicit TypicalLatency(Duration first)
      : value_us(static_cast<double>(first.count())) {}

  auto Add(Duration latency) -> void {
    this->value_us +=
        kWeight * (static_cast<double>(latency.count()) - this->value_us);
  }
  [[nodiscard]] auto Value() const -> Duration {
    return Duration(static_cast<std::int64_t>(this->value_us));
  }

 private:
  /// Weight of the newest answer.
  static constexpr double kWeight = 0.05;

  double value_us;
};

}  // namespace currantbeam
