#pragma once

#include <map>
#include <string>
#include <utility>

#include "metrics/metrics.h"
#include "store/row_source.h"

namespace currantbeam {

/// The delays from when rows of the shared tables were written at the store
/// until this host used them, by table and source. To be used from one loop.
class RowDelays {
 public:
  auto Record(const std::string& table, RowSource source, Duration delay)
      -> void {
    this->histograms[{table, source}].Record(delay);
  }
  /// Appends the histograms in the text exposition format.
  auto AppendTo(std::string& text) const -> void;

 private:
  std::map<std::pair<std::string, RowSource>, LatencyHistogram> histograms;
};

}  // namespace currantbeam
