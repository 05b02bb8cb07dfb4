#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/core.h"
#include "metrics/metrics.h"

namespace currantbeam {

/// How requests of one class fared.
struct RequestOutcome {
  ClassName work;
  std::string result;  ///< answered, refused, failed or cut.
  Duration waited{0};
  Duration total{0};
};

/// Counts and times requests; rendered in the text exposition format that
/// common scrapers read.
class Metrics {
 public:
  auto Record(const RequestOutcome& outcome) -> void;
  auto CountRetry() -> void;
  [[nodiscard]] auto Render() const -> std::string;

 private:
  struct ClassMetrics {
    std::map<std::string, std::uint64_t> results;
    LatencyHistogram waits;
    LatencyHistogram totals;
  };

  mutable std::mutex mutex;  ///< Taken last, never with another inside.
  std::map<ClassName, ClassMetrics> classes;
  std::uint64_t retries = 0;
};

}  // namespace currantbeam
