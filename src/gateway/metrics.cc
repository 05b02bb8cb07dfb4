#include "gateway/metrics.h"

#include <algorithm>
#include <sstream>

namespace currantbeam {
namespace {

constexpr int kBins = 40;
constexpr double kLeastSeconds = 0.0001;
constexpr double kMostSeconds = 100;

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Metrics::Metrics() = default;

auto Metrics::MakeHistogram() -> Histogram {
  return boost::histogram::make_histogram(
      Axis(kBins, kLeastSeconds, kMostSeconds));
}

auto Metrics::Record(const RequestOutcome& outcome) -> void {
  const std::lock_guard lock(this->mutex);
  auto found = this->classes.find(outcome.work);
  if (found == this->classes.end()) {
    ClassMetrics fresh{{}, MakeHistogram(), MakeHistogram(), 0, 0};
    found = this->classes.emplace(outcome.work, std::move(fresh)).first;
  }
  auto& metrics = found->second;
  ++metrics.results[outcome.result];
  const auto waited = std::max(Seconds(outcome.waited), kLeastSeconds);
  const auto total = std::max(Seconds(outcome.total), kLeastSeconds);
  metrics.waits(waited);
  metrics.totals(total);
  metrics.wait_sum += Seconds(outcome.waited);
  metrics.total_sum += Seconds(outcome.total);
}

auto Metrics::CountRetry() -> void {
  const std::lock_guard lock(this->mutex);
  ++this->retries;
}

auto Metrics::RenderHistogram(std::string& text, const std::string& name,
                              const std::string& work,
                              const Histogram& histogram, double sum) -> void {
  std::ostringstream out;
  const auto label = "{class=\"" + work + "\"";
  double cumulative = histogram.at(-1);
  for (int bin = 0; bin < histogram.axis().size(); ++bin) {
    cumulative += histogram.at(bin);
    out << name << "_bucket" << label << ",le=\""
        << histogram.axis().bin(bin).upper() << "\"} " << cumulative << "\n";
  }
  cumulative += histogram.at(histogram.axis().size());
  out << name << "_bucket" << label << ",le=\"+Inf\"} " << cumulative << "\n"
      << name << "_sum" << label << "} " << sum << "\n"
      << name << "_count" << label << "} " << cumulative << "\n";
  text += out.str();
}

auto Metrics::Render() const -> std::string {
  const std::lock_guard lock(this->mutex);
  std::string text = "# TYPE currantbeam_requests_total counter\n";
  for (const auto& [work, metrics] : this->classes) {
    for (const auto& [result, count] : metrics.results) {
      text += "currantbeam_requests_total{class=\"" + work.Value() +
              "\",result=\"" + result + "\"} " + std::to_string(count) + "\n";
    }
  }
  text += "# TYPE currantbeam_retries_total counter\n";
  text += "currantbeam_retries_total " + std::to_string(this->retries) + "\n";
  text += "# TYPE currantbeam_wait_seconds histogram\n";
  for (const auto& [work, metrics] : this->classes) {
    RenderHistogram(text, "currantbeam_wait_seconds", work.Value(),
                    metrics.waits, metrics.wait_sum);
  }
  text += "# TYPE currantbeam_request_seconds histogram\n";
  for (const auto& [work, metrics] : this->classes) {
    RenderHistogram(text, "currantbeam_request_seconds", work.Value(),
                    metrics.totals, metrics.total_sum);
  }
  return text;
}

}  // namespace currantbeam
