#pragma once

#include <boost/histogram.hpp>
#include <string>

#include "core/core.h"

namespace currantbeam {

/// How long something took, in bins of equal ratio.
class LatencyHistogram {
 public:
  LatencyHistogram();

  auto Record(Duration took) -> void;
  /// Appends the histogram in the text exposition format.
  /// @param labels  between the braces, without a closing comma.
  auto AppendTo(std::string& text, const std::string& name,
                const std::string& labels) const -> void;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;

  boost::histogram::histogram<std::tuple<Axis>> bins;
  double sum_seconds = 0;
};

}  // namespace currantbeam
