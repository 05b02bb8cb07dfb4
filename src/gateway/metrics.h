#pragma once

#include <boost/histogram.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/core.h"

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
  Metrics();
  auto Record(const RequestOutcome& outcome) -> void;
  auto CountRetry() -> void;
  [[nodiscard]] auto Render() const -> std::string;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<std::tuple<Axis>>;
  struct ClassMetrics {
    std::map<std::string, std::uint64_t> results;
    Histogram waits;
    Histogram totals;
    double wait_sum = 0;
    double total_sum = 0;
  };
  static auto MakeHistogram() -> Histogram;
  static auto RenderHistogram(std::string& text, const std::string& name,
                              const std::string& work,
                              const Histogram& histogram, double sum) -> void;

  mutable std::mutex mutex;  ///< Taken last, never with another inside.
  std::map<ClassName, ClassMetrics> classes;
  std::uint64_t retries = 0;
};

}  // namespace currantbeam
