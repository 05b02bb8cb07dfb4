#include "metrics/latency_histogram.h"

#include <algorithm>
#include <sstream>

namespace currantbeam {
namespace {

constexpr int kBins = 40;
constexpr double kLeastSeconds = 0.0001;
constexpr double kMostSeconds = 100;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : bins(boost::histogram::make_histogram(
          Axis(kBins, kLeastSeconds, kMostSeconds))) {}

auto LatencyHistogram::Record(Duration took) -> void {
  const double seconds = std::chrono::duration<double>(took).count();
  this->bins(std::max(seconds, kLeastSeconds));
  this->sum_seconds += seconds;
}

auto LatencyHistogram::AppendTo(std::string& text, const std::string& name,
                                const std::string& labels) const -> void {
  std::ostringstream out;
  double cumulative = this->bins.at(-1);
  for (int bin = 0; bin < this->bins.axis().size(); ++bin) {
    cumulative += this->bins.at(bin);
    out << name << "_bucket{" << labels << ",le=\""
        << this->bins.axis().bin(bin).upper() << "\"} " << cumulative << "\n";
  }
  cumulative += this->bins.at(this->bins.axis().size());
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative << "\n"
      << name << "_sum{" << labels << "} " << this->sum_seconds << "\n"
      << name << "_count{" << labels << "} " << cumulative << "\n";
  text += out.str();
}

}  // namespace currantbeam
