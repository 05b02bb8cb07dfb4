#include "metrics/latency_histogram.h"

#include <algorithm>
#include <sstream>

namespace currantbeam {
namespace {

constexpr int kBucketCount = 40;
constexpr double kMinSeconds = 0.0001;
constexpr double kMaxSeconds = 100;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : buckets(boost::histogram::make_histogram(
          Axis(kBucketCount, kMinSeconds, kMaxSeconds))) {}

auto LatencyHistogram::Record(Duration latency) -> void {
  const double seconds = std::chrono::duration<double>(latency).count();
  this->buckets(std::max(seconds, kMinSeconds));
  this->sum_seconds += seconds;
}

auto LatencyHistogram::AppendTo(std::string& text, const std::string& name,
                                const std::string& labels) const -> void {
  std::ostringstream out;
  double cumulative = this->buckets.at(-1);
  for (int bucket = 0; bucket < this->buckets.axis().size(); ++bucket) {
    cumulative += this->buckets.at(bucket);
    out << name << "_bucket{" << labels << ",le=\""
        << this->buckets.axis().bin(bucket).upper() << "\"} " << cumulative
        << "\n";
  }
  cumulative += this->buckets.at(this->buckets.axis().size());
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative << "\n"
      << name << "_sum{" << labels << "} " << this->sum_seconds << "\n"
      << name << "_count{" << labels << "} " << cumulative << "\n";
  text += out.str();
}

}  // namespace currantbeam
