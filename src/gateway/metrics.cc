#include "gateway/metrics.h"

namespace currantbeam {

auto Metrics::Record(const RequestOutcome& outcome) -> void {
  const std::lock_guard lock(this->mutex);
  auto& metrics = this->classes[outcome.class_name];
  ++metrics.results[outcome.result];
  metrics.queue_times.Record(outcome.queue_time);
  metrics.total_times.Record(outcome.total);
}

auto Metrics::CountRetry() -> void {
  const std::lock_guard lock(this->mutex);
  ++this->retries;
}

auto Metrics::Render() const -> std::string {
  const std::lock_guard lock(this->mutex);
  std::string text = "# TYPE currantbeam_requests_total counter\n";
  for (const auto& [class_name, metrics] : this->classes) {
    for (const auto& [result, count] : metrics.results) {
      text += "currantbeam_requests_total{class=\"" + class_name.Value() +
              "\",result=\"" + result + "\"} " + std::to_string(count) + "\n";
    }
  }
  text += "# TYPE currantbeam_retries_total counter\n";
  text += "currantbeam_retries_total " + std::to_string(this->retries) + "\n";
  text += "# TYPE currantbeam_wait_seconds histogram\n";
  for (const auto& [class_name, metrics] : this->classes) {
    metrics.queue_times.AppendTo(text, "currantbeam_wait_seconds",
                                 "class=\"" + class_name.Value() + "\"");
  }
  text += "# TYPE currantbeam_request_seconds histogram\n";
  for (const auto& [class_name, metrics] : this->classes) {
    metrics.total_times.AppendTo(text, "currantbeam_request_seconds",
                                 "class=\"" + class_name.Value() + "\"");
  }
  return text;
}

}  // namespace currantbeam
