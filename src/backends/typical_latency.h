#pragma once

#include <cstdint>

#include "core/core.h"

namespace currantbeam {

/// Moving average of the latency of a service's responses at this gateway. It
/// is the expected latency of servers without recent responses.
class TypicalLatency {
 public:
  /// @param initial  value before any response.
  explicit TypicalLatency(Duration initial)
      : value_us(static_cast<double>(initial.count())) {}

  auto Add(Duration latency) -> void {
    this->value_us +=
        kNewestWeight * (static_cast<double>(latency.count()) - this->value_us);
  }
  [[nodiscard]] auto Value() const -> Duration {
    return Duration(static_cast<std::int64_t>(this->value_us));
  }

 private:
  /// Weight of the newest response.
  static constexpr double kNewestWeight = 0.05;

  double value_us;
};

}  // namespace currantbeam
