#include "gateway/metrics.h"

namespace currantbeam {

auto Metrics::Record(const RequestOutcome& outcome) -> void {
  const std::lock_guard lock(this->mutex);
  auto& metrics = this->classes[outcome.work];
  ++metrics.results[outcome.result];
  metrics.waits.Record(outcome.waited);
  metrics.totals.Record(outcome.total);
}

auto Metrics::CountRetry() -> void {
  const std::lock_guard lock(this->mutex);
  ++this->retries;
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
    metrics.waits.AppendTo(text, "currantbeam_wait_seconds",
                           "class=\"" + work.Value() + "\"");
  }
  text += "# TYPE currantbeam_request_seconds histogram\n";
  for (const auto& [work, metrics] : this->classes) {
    metrics.totals.AppendTo(text, "currantbeam_request_seconds",
                            "class=\"" + work.Value() + "\"");
  }
  return text;
}

}  // namespace currantbeam
