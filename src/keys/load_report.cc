#include "keys/load_report.h"

#include <algorithm>
#include <functional>

#include "core/cbor.h"

namespace currantbeam {
namespace {

/// Limits the latencies of one server in a report; further ones are dropped.
constexpr std::size_t kMaxLatenciesPerServer = 8;
/// Limits the stripes that are reported individually. It is this high because
/// each of many gateways sees few requests to a stripe that is hot overall.
constexpr std::size_t kMaxReportedStripes = 64;

auto EncodeService(const ServiceLoad& load) -> nlohmann::json {
  auto requests = nlohmann::json::array();
  for (const auto& [stripe, count] : load.requests) {
    requests.push_back({stripe, count});
  }
  auto latencies = nlohmann::json::object();
  for (const auto& [id, values] : load.latencies_ms) {
    latencies[id.Value()] = values;
  }
  return {{"r", requests}, {"o", load.other_requests}, {"l", latencies}};
}

auto DecodeService(const nlohmann::json& json) -> ServiceLoad {
  ServiceLoad load;
  for (const auto& entry : json.at("r")) {
    load.requests[entry.at(0).get<int>()] = entry.at(1).get<int>();
  }
  load.other_requests = json.at("o").get<int>();
  for (const auto& [id, values] : json.at("l").items()) {
    load.latencies_ms[ServerId(id)] = values.get<std::vector<int>>();
  }
  return load;
}

/// Keeps the stripes with most requests and adds up the requests to the others.
auto MergeColdStripes(ServiceLoad& load) -> void {
  if (load.requests.size() <= kMaxReportedStripes) return;
  std::vector<int> counts;
  for (const auto& [stripe, count] : load.requests) counts.push_back(count);
  std::nth_element(counts.begin(), counts.begin() + kMaxReportedStripes,
                   counts.end(), std::greater<>());
  const int min_count = counts[kMaxReportedStripes] + 1;
  for (auto it = load.requests.begin(); it != load.requests.end();) {
    if (it->second >= min_count) {
      ++it;
      continue;
    }
    load.other_requests += it->second;
    it = load.requests.erase(it);
  }
}

}  // namespace

auto LoadReport::Encode() const -> std::string {
  auto services = nlohmann::json::object();
  for (const auto& [name, load] : this->services) {
    services[name.Value()] = EncodeService(load);
  }
  nlohmann::json report = {{"h", this->host.Value()},
                           {"e", this->endpoint},
                           {"i", this->interval.count()},
                           {"s", services},
                           {"t", this->tables}};
  if (this->accepts_announcements) report["a"] = true;
  if (!this->quarantine.IsEmpty()) {
    report["q"] = ToBinary(this->quarantine.Encode());
  }
  return ToCbor(report);
}

auto LoadReport::Decode(const std::string& text) -> LoadReport {
  return FromCbor(text, "load report", [](const nlohmann::json& json) {
    LoadReport report;
    report.host = HostId(json.at("h").get<std::string>());
    report.endpoint = json.at("e").get<std::string>();
    report.interval = Duration(json.at("i").get<std::int64_t>());
    for (const auto& [name, load] : json.at("s").items()) {
      report.services[ServiceName(name)] = DecodeService(load);
    }
    report.tables = json.at("t").get<std::map<std::string, StoreVersion>>();
    report.accepts_announcements = json.value("a", false);
    if (json.contains("q")) {
      report.quarantine = QuarantineState::Decode(FromBinary(json.at("q")));
    }
    return report;
  });
}

auto LoadRecorder::OnRequest(const ServiceName& service, int stripe) -> void {
  ++this->services[service].requests[stripe];
}

auto LoadRecorder::OnResponse(const ServiceName& service,
                              const ServerId& server, Duration latency)
    -> void {
  auto& values = this->services[service].latencies_ms[server];
  if (values.size() >= kMaxLatenciesPerServer) return;
  values.push_back(static_cast<int>(latency.count() / 1000));
}

auto LoadRecorder::TakeReport(const HostId& host, const std::string& endpoint,
                              TimePoint now) -> LoadReport {
  LoadReport report;
  report.host = host;
  report.endpoint = endpoint;
  report.interval = now - this->last_report_at;
  report.services = std::move(this->services);
  this->services.clear();
  this->last_report_at = now;
  for (auto& [name, load] : report.services) MergeColdStripes(load);
  return report;
}

}  // namespace currantbeam
