#include "router/metrics_page.h"

#include <sstream>

#include "core/events.h"

namespace currantbeam {
namespace {

template <typename Number>
auto AppendGauge(std::ostringstream& out, const std::string& name, Number value,
                 const std::string& labels = "") -> void {
  out << "currantbeam_" << name << labels << " " << value << "\n";
}

auto Seconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

auto AppendGauges(std::string& text, const HostGauges& gauges) -> void {
  std::ostringstream out;
  AppendGauge(out, "ready", gauges.is_ready ? 1 : 0);
  AppendGauge(out, "keeper", gauges.is_coordinator ? 1 : 0);
  AppendGauge(out, "routes_version", gauges.routes_version);
  AppendGauge(out, "routes_age_seconds", Seconds(gauges.routes_age));
  for (const auto& [table, age] : gauges.table_ages) {
    AppendGauge(out, "table_age_seconds", Seconds(age),
                "{table=\"" + table + "\"}");
  }
  AppendGauge(out, "servers", gauges.servers);
  AppendGauge(out, "hosts", gauges.hosts);
  AppendGauge(out, "requests_in_hand", gauges.in_flight);
  AppendGauge(out, "log_lines_dropped_total", gauges.dropped_log_lines);
  text += out.str();
}

auto MetricsPage::Handle(HttpExchange& exchange) -> void {
  HttpResponse response{http::status::ok, 11};
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  this->source.AppendMetrics(response.body());
  exchange.Send(std::move(response));
}

auto MetricsPage::OnBadInput(const std::string& what) -> void {
  Log(events::kBadRequest, {{"from", "metrics"}, {"error", what}});
}

}  // namespace currantbeam
