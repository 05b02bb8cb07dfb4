#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/core.h"
#include "metrics/metrics.h"

namespace currantbeam {

/// The result and timing of one request.
struct RequestOutcome {
  ClassName class_name;
  std::string result;  ///< "answered", "refused", "failed" or "cut".
  Duration queue_time{0};
  Duration total{0};
};

/// Request counts and latency histograms by class, rendered in the Prometheus
/// text exposition format.
class Metrics {
 public:
  auto Record(const RequestOutcome& outcome) -> void;
  auto CountRetry() -> void;
  [[nodiscard]] auto Render() const -> std::string;

 private:
  struct ClassMetrics {
    std::map<std::string, std::uint64_t> results;
    LatencyHistogram queue_times;
    LatencyHistogram total_times;
  };

  mutable std::mutex
      mutex;  ///< Locked last; no other mutex is locked under it.
  std::map<ClassName, ClassMetrics> classes;
  std::uint64_t retries = 0;
};

}  // namespace currantbeam
