#include "router/request_metrics.h"

namespace currantbeam {
namespace {

/// The number of servers with metrics of their own; bounds the label values.
/// Servers that come later are counted together.
constexpr std::size_t kMaxTrackedServers = 1000;
constexpr const char* kOtherServers = "other";

auto ToString(RequestResult result) -> std::string {
  switch (result) {
    case RequestResult::kAnswered:
      return "answered";
    case RequestResult::kRefused:
      return "refused";
    case RequestResult::kFailed:
      return "failed";
    case RequestResult::kAbandoned:
      return "abandoned";
  }
  return "unknown";
}

auto ToString(AttemptOutcome outcome) -> std::string {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return "ran";
    case AttemptOutcome::kNotRun:
      return "not_run";
    case AttemptOutcome::kWrongOwner:
      return "wrong_owner";
    case AttemptOutcome::kMayHaveRun:
      return "may_have_run";
    case AttemptOutcome::kClientDisconnected:
      return "client_gone";
  }
  return "unknown";
}

/// @return the label with its value escaped; services and servers have names
///   from other processes.
auto Label(const std::string& name, const std::string& value) -> std::string {
  std::string label = name + "=\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') label += '\\';
    label += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return label + "\"";
}

auto AppendCount(std::string& text, const std::string& name,
                 const std::string& labels, std::uint64_t count) -> void {
  text += name + "{" + labels + "} " + std::to_string(count) + "\n";
}

}  // namespace

auto RequestMetrics::OnRequest(const ServiceName& service, RequestResult result,
                               Duration took) -> void {
  auto& metrics = this->services[service];
  ++metrics.results[result];
  metrics.latency.Record(took);
}

auto RequestMetrics::OnRefusal(std::string_view reason) -> void {
  const auto it = this->refusals.find(reason);
  if (it != this->refusals.end()) {
    ++it->second;
  } else {
    this->refusals.emplace(reason, 1);
  }
}

auto RequestMetrics::OnAttempt(const ServiceName& service,
                               const ServerId& server, AttemptOutcome outcome)
    -> void {
  auto it = this->servers.find(server);
  if (it == this->servers.end()) {
    const bool is_tracked = this->servers.size() < kMaxTrackedServers;
    const auto id = is_tracked ? server : ServerId(kOtherServers);
    const auto name = is_tracked ? service : ServiceName(kOtherServers);
    it = this->servers.try_emplace(id, Server{name, {}}).first;
  }
  ++it->second.outcomes[static_cast<std::size_t>(outcome)];
}

auto RequestMetrics::AppendTo(std::string& text) const -> void {
  text += "# TYPE currantbeam_requests_total counter\n";
  for (const auto& [service, metrics] : this->services) {
    for (const auto& [result, count] : metrics.results) {
      AppendCount(text, "currantbeam_requests_total",
                  Label("service", service.Value()) + "," +
                      Label("result", ToString(result)),
                  count);
    }
  }
  text += "# TYPE currantbeam_refusals_total counter\n";
  for (const auto& [reason, count] : this->refusals) {
    AppendCount(text, "currantbeam_refusals_total", Label("reason", reason),
                count);
  }
  text += "# TYPE currantbeam_attempts_total counter\n";
  for (const auto& [server, attempts] : this->servers) {
    for (std::size_t outcome = 0; outcome < attempts.outcomes.size();
         ++outcome) {
      const auto count = attempts.outcomes[outcome];
      if (count == 0) continue;
      AppendCount(
          text, "currantbeam_attempts_total",
          Label("service", attempts.service.Value()) + "," +
              Label("server", server.Value()) + "," +
              Label("verdict", ToString(static_cast<AttemptOutcome>(outcome))),
          count);
    }
  }
  text += "# TYPE currantbeam_request_seconds histogram\n";
  for (const auto& [service, metrics] : this->services) {
    metrics.latency.AppendTo(text, "currantbeam_request_seconds",
                             Label("service", service.Value()));
  }
}

}  // namespace currantbeam
