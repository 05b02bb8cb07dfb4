#pragma once

#include <boost/histogram.hpp>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// A histogram of latencies from 0.1 ms to 100 s in logarithmic buckets.
class LatencyHistogram {
 public:
  LatencyHistogram();

  /// Counts one latency. Values out of range count in the first bucket or only
  /// in the +Inf bucket.
  auto Record(Duration latency) -> void;
  /// Appends the histogram in the Prometheus text exposition format.
  /// @param labels  the label pairs, separated by commas, without braces.
  auto AppendTo(std::string& text, const std::string& name,
                const std::string& labels) const -> void;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> buckets;
  double sum_seconds = 0;
};

}  // namespace currantbeam
